#include "currantshed/log/log.hpp"

#include <string>
#include <vector>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

const log::identity kSelf{ "currantshed-pooler", "vm-1", "marka" };

std::string
Line(std::string_view aEvent, std::initializer_list<log::field> aFields)
{
  const clock::wall_time now{ std::chrono::milliseconds(1700000000123) };
  return log::FormatLine(now, kSelf, log::level::kWarning, aEvent, aFields);
}

struct text_row
{
  const char* name;
  std::string given;
  std::string expect;
};

const text_row kTextRows[] = {
  { "plain", "abc", "abc" },
  { "quotes and backslashes", R"(a"b\c)", R"(a"b\c)" },
  { "line breaks are escaped", "a\nb\r\nc", "a\nb\r\nc" },
  { "control characters",
    std::string("a\0b\x1b", 4),
    std::string("a\0b\x1b", 4) },
  { "format specifiers of the logger", "%msg %v %level", "%msg %v %level" },
  { "UTF-8", "Ärger 浴", "Ärger 浴" },
  { "a lone continuation byte", "a\x80z", "a\xEF\xBF\xBDz" },
  { "a truncated sequence", "a\xE6\xB5", "a\xEF\xBF\xBD\xEF\xBF\xBD" },
  { "an overlong form", "\xC0\xAF", "\xEF\xBF\xBD\xEF\xBF\xBD" },
  { "a surrogate", "\xED\xA0\x80", "\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD" },
};

} // namespace

TEST_GROUP(log){};

TEST(log, fixed_fields_come_first)
{
  STRCMP_EQUAL("{\"time\":\"2023-11-14T22:13:20.123Z\",\"level\":\"warning\","
               "\"event\":\"promoted\",\"program\":\"currantshed-pooler\","
               "\"vm\":\"vm-1\",\"failure_domain\":\"marka\","
               "\"group\":\"planner-1\",\"term\":7,\"late\":true}",
               Line("promoted",
                    { { "group", "planner-1" },
                      { "term", std::int64_t{ 7 } },
                      { "late", true } })
                 .c_str());
}

TEST(log, texts_stay_valid_json_on_one_line)
{
  for (const auto& row : kTextRows) {
    const std::string line = Line("e", { { "text", row.given } });
    CHECK_TEXT(line.find('\n') == std::string::npos, row.name);
    const auto parsed = boost::json::parse(line).as_object();
    const auto& read = parsed.at("text").as_string();
    CHECK_TEXT(std::string(read.data(), read.size()) == row.expect, row.name);
  }
}

namespace {

struct long_text_row
{
  const char* name;
  std::vector<std::string> texts;
};

const long_text_row kLongTextRows[] = {
  { "one long text", { std::string(1U << 20U, 'x') } },
  { "many texts", std::vector<std::string>(20, std::string(1000, 'x')) },
  { "a text that is escaped", { std::string(5000, '\x01') } },
  { "many that are escaped",
    std::vector<std::string>(10, std::string(5000, '\x01')) },
};

} // namespace

// A line that was longer than a pipe takes at once lost its end, and the next
// one was appended to it.
TEST(log, a_long_text_does_not_run_into_the_next_line)
{
  for (const auto& row : kLongTextRows) {
    std::vector<log::field> fields;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < row.texts.size(); ++i) {
      names.push_back("text" + std::to_string(i));
    }
    for (std::size_t i = 0; i < row.texts.size(); ++i) {
      fields.push_back({ names[i], row.texts[i] });
    }
    const clock::wall_time now{ std::chrono::milliseconds(1700000000123) };
    const auto line =
      log::FormatLine(now, kSelf, log::level::kWarning, "e", fields);
    CHECK_TEXT(line.size() < log::kMaxLineBytes, row.name);
    const auto parsed = boost::json::parse(line).as_object();
    CHECK_TEXT(parsed.at("event").as_string() == "e", row.name);
  }
}

TEST(log, a_field_does_not_replace_a_fixed_one)
{
  const auto parsed =
    boost::json::parse(Line("e", { { "vm", "other" } })).as_object();
  CHECK(parsed.at("vm").as_string() == "vm-1");
}

TEST(log, numbers_that_are_not_finite_become_null)
{
  const double nothing = 0;
  const auto parsed =
    boost::json::parse(Line("e", { { "x", nothing / nothing } })).as_object();
  CHECK(parsed.at("x").is_null());
}

TEST(log, what_is_not_known_is_left_out)
{
  const auto parsed =
    boost::json::parse(Line("e", { { "x", log::unknown{} }, { "y", true } }))
      .as_object();
  CHECK(!parsed.contains("x"));
  CHECK(parsed.at("y").as_bool());
}
