#include "currantshed/policy/configuration_record.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace currantshed::policy;

namespace {

struct broken_row
{
  const char* name;
  const char* json;
};

constexpr broken_row kBrokenRows[] = {
  { "nothing", "" },
  { "no JSON", "classes:" },
  { "a list", "[]" },
  { "no version", R"({"change":"c","declaration":"d"})" },
  { "version zero", R"({"version":0,"change":"c","declaration":"d"})" },
  { "version below zero", R"({"version":-1,"change":"c","declaration":"d"})" },
  { "version as text", R"({"version":"1","change":"c","declaration":"d"})" },
  { "no change", R"({"version":1,"declaration":"d"})" },
  { "no declaration", R"({"version":1,"change":"c"})" },
  { "cut", R"({"version":1,"change":"c","decl)" },
  { "earlier changes of another kind",
    R"({"version":2,"change":"c","declaration":"d","earlier_changes":[1]})" },
  { "earlier changes are no list",
    R"({"version":2,"change":"c","declaration":"d","earlier_changes":"b"})" },
  { "more changes than versions",
    R"({"version":1,"change":"c","declaration":"d","earlier_changes":["b"]})" },
};

struct trace_row
{
  const char* name;
  const char* change;
  std::uint64_t version;
  change_status expected;
};

/// Against a record of version 9, change "i", after "h" and "g".
constexpr trace_row kTraceRows[] = {
  { "in force", "i", 9, change_status::kIncluded },
  { "the one before", "h", 8, change_status::kIncluded },
  { "the oldest that is named", "g", 7, change_status::kIncluded },
  { "another took its version", "x", 9, change_status::kNotIncluded },
  { "another took its version earlier", "x", 7, change_status::kNotIncluded },
  { "the version isn't reached", "x", 10, change_status::kNotIncluded },
  { "older than all that are named", "f", 6, change_status::kTooOld },
};

} // namespace

TEST_GROUP(configuration_record){};

TEST(configuration_record, comes_back_whole)
{
  const configuration_record record{
    12, "a\"b", "classes:\n  - ü", "operator", "2026-12-02T16:00:00Z", { "x" }
  };
  const auto back = ParseConfigurationRecord(PrintConfigurationRecord(record));
  CHECK(back.has_value());
  CHECK(*back == record);
}

TEST(configuration_record, what_is_only_for_people_may_be_missing)
{
  const auto read =
    ParseConfigurationRecord(R"({"version":3,"change":"c","declaration":"d"})");
  CHECK(read.has_value());
  CHECK((*read == configuration_record{ 3, "c", "d", "", "", {} }));
}

TEST(configuration_record, broken_records_are_none)
{
  for (const auto& row : kBrokenRows) {
    CHECK_FALSE_TEXT(ParseConfigurationRecord(row.json).has_value(), row.name);
  }
}

TEST(configuration_record, names_a_bounded_number_of_changes)
{
  configuration_record record;
  for (std::size_t step = 1; step <= 2 * kEarlierChanges; ++step) {
    record = NextConfigurationRecord(record, std::to_string(step), "d");
    CHECK(record.version == step);
    CHECK(record.earlierChanges.size() == std::min(step - 1, kEarlierChanges));
  }
  STRCMP_EQUAL("31", record.earlierChanges.front().c_str());
  STRCMP_EQUAL("16", record.earlierChanges.back().c_str());
}

TEST(configuration_record, traces_a_change)
{
  const configuration_record record{ 9, "i", "d", "", "", { "h", "g" } };
  for (const auto& row : kTraceRows) {
    CHECK_TEXT(FindChange(record, row.change, row.version) == row.expected,
               row.name);
  }
}
