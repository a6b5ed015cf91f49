#include "currantshed/settings/duration.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::settings::FormatDuration;
using currantshed::settings::ParseDuration;
using currantshed::settings::unitless_number;

namespace {

struct duration_row
{
  const char* given;
  long expect;
  const char* printed;
};

constexpr duration_row kValid[] = {
  { "0s", 0, "0s" },       { "500ms", 500, "500ms" },
  { "2s", 2000, "2s" },    { "5m", 300000, "5m" },
  { "1h", 3600000, "1h" }, { "1000ms", 1000, "1s" },
  { "90s", 90000, "90s" }, { "1500ms", 1500, "1500ms" },
};

constexpr const char* kInvalid[] = {
  "",
  "ms",
  "5",
  "-1s",
  "1.5s",
  "5 s",
  "5S",
  "5s ",
  "5d",
  "99999999999999999999s",
  "9223372036854775807h",
};

} // namespace

TEST_GROUP(duration){};

TEST(duration, good)
{
  for (const auto& row : kValid) {
    const auto time = ParseDuration(row.given, unitless_number::kRejected);
    CHECK_TEXT(time.has_value(), row.given);
    LONGS_EQUAL_TEXT(row.expect, time->count(), row.given);
    STRCMP_EQUAL_TEXT(row.printed, FormatDuration(*time).c_str(), row.given);
  }
}

TEST(duration, bad)
{
  for (const auto* text : kInvalid) {
    CHECK_TEXT(!ParseDuration(text, unitless_number::kRejected), text);
  }
}
