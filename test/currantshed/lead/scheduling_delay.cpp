#include "currantshed/lead/scheduling_delay.hpp"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

const clock::time_point kStart{ 1h };

struct run
{
  std::chrono::milliseconds at;
  std::chrono::milliseconds late;
};

struct late_row
{
  const char* name;
  std::vector<run> runs;
  std::chrono::milliseconds lookAt;
  std::chrono::milliseconds expected;
};

const late_row kRows[] = {
  { "never ran", {}, 0ms, 0ms },
  { "in time", { { 0ms, 0ms } }, 10ms, 0ms },
  { "earlier than planned", { { 0ms, -20ms } }, 10ms, 0ms },
  { "late", { { 0ms, 300ms } }, 10ms, 300ms },
  { "late a second ago", { { 0ms, 300ms } }, 1000ms, 300ms },
  { "half faded", { { 0ms, 300ms } }, 2000ms, 150ms },
  { "faded", { { 0ms, 300ms } }, 3000ms, 0ms },
  { "long ago", { { 0ms, 300ms } }, 1h, 0ms },
  { "the worst counts", { { 0ms, 300ms }, { 100ms, 20ms } }, 200ms, 300ms },
  { "a later one that is worse than what is left",
    { { 0ms, 300ms }, { 2500ms, 200ms } },
    2600ms,
    200ms },
  { "stood still for a minute", { { 0ms, 60s } }, 10ms, 2000ms },
  { "stood still for a minute, half faded", { { 0ms, 60s } }, 2000ms, 1000ms },
};

} // namespace

TEST_GROUP(scheduling_delay){};

TEST(scheduling_delay, is_the_recent_maximum_and_decays)
{
  for (const auto& row : kRows) {
    lead::scheduling_delay box;
    for (const auto& one : row.runs) {
      box.Record(kStart + one.at - one.late, kStart + one.at);
    }
    CHECK_TEXT(box.At(kStart + row.lookAt) == row.expected, row.name);
  }
}
