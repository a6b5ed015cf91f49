#include "currantshed/burn/snapshot_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct name_row
{
  const char* name;
  const char* given;
  /// Empty for a file that is not a snapshot.
  const char* target;
  long long milliseconds;
};

constexpr name_row kRows[] = {
  { "an IP number and port",
    "1700000000123-127.0.0.1:24001.prom",
    "127.0.0.1:24001",
    1700000000123 },
  { "a dash in the target", "5-a-b.prom", "a-b", 5 },
  { "another suffix", "5-a.prom.part", "", 0 },
  { "no time", "x-a.prom", "", 0 },
  { "no target", "5-.prom", "", 0 },
  { "no dash", "5.prom", "", 0 },
};

} // namespace

TEST_GROUP(snapshot_store){};

TEST(snapshot_store, names)
{
  for (const auto& row : kRows) {
    const auto read = burn::ReadFileName(row.given);
    const bool isSnapshot = row.target[0] != '\0';
    CHECK_EQUAL_TEXT(isSnapshot, read.has_value(), row.name);
    if (!isSnapshot) {
      continue;
    }
    STRCMP_EQUAL_TEXT(row.target, read->target.c_str(), row.name);
    const std::chrono::milliseconds time(row.milliseconds);
    CHECK_TEXT(read->time.time_since_epoch() == time, row.name);
    STRCMP_EQUAL_TEXT(
      row.given, burn::FileNameOf(read->target, read->time).c_str(), row.name);
  }
}
