#include "currantshed/burn/exposition.hpp"

#include <absl/strings/str_cat.h>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct exposition_row
{
  const char* name;
  const char* given;
  /// Expected samples as name{label=value,}=value, then the numbers of
  /// malformed lines.
  const char* expect;
};

constexpr exposition_row kRows[] = {
  { "nothing", "", "" },
  { "comments and empty lines", "# HELP a b\n\n  # TYPE a counter\n", "" },
  { "plain", "a_total 3\n", "a_total{}=3 " },
  { "last line without line feed", "a 1.5e3", "a{}=1500 " },
  { "labels", "a{x=\"1\",y=\"two\"} 2\n", "a{x=1,y=two,}=2 " },
  { "a comma at the end, spaces", "a{ x = \"1\" , } \t 2\n", "a{x=1,}=2 " },
  { "empty braces", "a{} 2\n", "a{}=2 " },
  { "escapes", "a{x=\"q\\\"b\\\\s}\"} 2\n", "a{x=q\"b\\s},}=2 " },
  { "a timestamp is ignored", "a 2 1700000000000\n", "a{}=2 " },
  { "infinite numbers", "a +Inf\nb -Inf\n", "a{}=inf b{}=-inf " },
  { "lines with CR LF", "a 1\r\nb 2\r\n", "a{}=1 b{}=2 " },
  { "bad lines do not hide good ones",
    "a{x=\"1} 2\n9x 1\nb\nc{x} 1\nd{x=\"1\" y=\"2\"} 1\ne two\nf 6\n",
    "f{}=6 bad:1,2,3,4,5,6," },
};

std::string
Print(const burn::exposition& aRead)
{
  std::string text;
  for (const auto& one : aRead.samples) {
    absl::StrAppend(&text, one.name, "{");
    for (const auto& [name, value] : one.labels) {
      absl::StrAppend(&text, name, "=", value, ",");
    }
    absl::StrAppend(&text, "}=", one.value, " ");
  }
  absl::StrAppend(&text, aRead.badLines.empty() ? "" : "bad:");
  for (const int line : aRead.badLines) {
    absl::StrAppend(&text, line, ",");
  }
  return text;
}

} // namespace

TEST_GROUP(exposition){};

TEST(exposition, table)
{
  for (const auto& row : kRows) {
    STRCMP_EQUAL_TEXT(
      row.expect, Print(burn::ParseExposition(row.given)).c_str(), row.name);
  }
}
