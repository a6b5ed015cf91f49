#include "currantshed/pooler/latest_configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

struct configuration_row
{
  const char* name;
  /// Versions in the order in which they are received.
  std::vector<std::uint64_t> offered;
  std::uint64_t held;
  /// Number of versions that are accepted.
  int taken;
};

std::vector<configuration_row>
ConfigurationRows()
{
  return {
    { "none received", {}, 0, 0 },
    { "the first one", { 3 }, 3, 1 },
    { "a higher one replaces it", { 3, 4 }, 4, 2 },
    { "a lower one from a restored store is rejected", { 4, 3 }, 4, 1 },
    { "the same one again", { 3, 3 }, 3, 1 },
    { "a late response to an old watch", { 3, 5, 4 }, 5, 2 },
    { "no version at all", { 0 }, 0, 0 },
    { "an empty store after an outage", { 7, 0 }, 7, 1 },
  };
}

} // namespace

TEST_GROUP(latest_configuration){};

TEST(latest_configuration, never_goes_back)
{
  for (const auto& row : ConfigurationRows()) {
    pooler::latest_configuration latest;
    int taken = 0;
    for (const auto version : row.offered) {
      const bool isTaken =
        latest.ApplyIfNewer({ version, std::to_string(version) });
      taken += isTaken ? 1 : 0;
    }
    CHECK_EQUAL_TEXT(row.held, latest.Current().version, row.name);
    CHECK_EQUAL_TEXT(row.taken, taken, row.name);
    CHECK_EQUAL_TEXT(row.held != 0, latest.HasAny(), row.name);
  }
}

TEST(latest_configuration, one_version_keeps_one_declaration)
{
  pooler::latest_configuration latest;
  CHECK(latest.ApplyIfNewer({ 3, "first" }));
  CHECK_FALSE(latest.ApplyIfNewer({ 3, "second" }));
  STRCMP_EQUAL("first", latest.Current().declaration.c_str());
}
