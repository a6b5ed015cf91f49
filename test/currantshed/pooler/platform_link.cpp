#include "currantshed/pooler/platform_link.hpp"

#include <chrono>
#include <cstddef>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;

namespace {

struct interval_row
{
  const char* name;
  std::chrono::milliseconds setting;
  std::size_t vms;
  std::chrono::milliseconds expected;
};

constexpr interval_row kIntervalRows[] = {
  { "a single VM", 1000ms, 1, 1000ms },
  { "a fleet of 9 VMs", 1000ms, 9, 1000ms },
  { "the largest fleet within the rate limit", 1000ms, 200, 1000ms },
  { "the planned fleet of 530 VMs", 1000ms, 530, 2650ms },
  { "a longer setting is kept", 10s, 530, 10s },
};

} // namespace

TEST_GROUP(platform_link){};

TEST(platform_link, list_interval)
{
  for (const auto& row : kIntervalRows) {
    const auto interval = pooler::ListInterval(row.setting, row.vms);
    CHECK_TEXT(interval == row.expected, row.name);
  }
}
