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
  std::chrono::milliseconds delay;
};

struct delay_row
{
  const char* name;
  std::vector<run> runs;
  std::chrono::milliseconds readAt;
  std::chrono::milliseconds expected;
};

const delay_row kRows[] = {
  { "no work recorded", {}, 0ms, 0ms },
  { "on time", { { 0ms, 0ms } }, 10ms, 0ms },
  { "earlier than scheduled", { { 0ms, -20ms } }, 10ms, 0ms },
  { "late", { { 0ms, 300ms } }, 10ms, 300ms },
  { "late a second ago", { { 0ms, 300ms } }, 1000ms, 300ms },
  { "half decayed", { { 0ms, 300ms } }, 2000ms, 150ms },
  { "faded", { { 0ms, 300ms } }, 3000ms, 0ms },
  { "long ago", { { 0ms, 300ms } }, 1h, 0ms },
  { "the maximum counts", { { 0ms, 300ms }, { 100ms, 20ms } }, 200ms, 300ms },
  { "a later delay above the decayed maximum",
    { { 0ms, 300ms }, { 2500ms, 200ms } },
    2600ms,
    200ms },
  { "paused for a minute", { { 0ms, 60s } }, 10ms, 2000ms },
  { "paused for a minute, half decayed", { { 0ms, 60s } }, 2000ms, 1000ms },
};

} // namespace

TEST_GROUP(scheduling_delay){};

TEST(scheduling_delay, is_the_recent_maximum_and_decays)
{
  for (const auto& row : kRows) {
    lead::scheduling_delay subject;
    for (const auto& one : row.runs) {
      subject.Record(kStart + one.at - one.delay, kStart + one.at);
    }
    CHECK_TEXT(subject.At(kStart + row.readAt) == row.expected, row.name);
  }
}
