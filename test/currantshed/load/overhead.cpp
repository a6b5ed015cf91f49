#include "currantshed/load/overhead.hpp"

#include <chrono>
#include <vector>

#include "currantshed/load/process_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace load = currantshed::load;

namespace {

struct stat_row
{
  const char* name;
  const char* stat;
  long ticks;
  std::chrono::nanoseconds expect;
};

const stat_row kStatRows[] = {
  { "user and system time",
    "7 (gateway) S 1 7 7 0 -1 4 1 0 0 0 30 12 0 0 20",
    100,
    420ms },
  { "spaces and parentheses in the name",
    "7 (a) b (c) S 1 7 7 0 -1 4 1 0 0 0 30 12 0 0 20",
    100,
    420ms },
  { "no such process", "", 100, 0ms },
  { "cut short", "7 (gateway) S 1 7 7 0", 100, 0ms },
  { "no ticks", "7 (gateway) S 1 7 7 0 -1 4 1 0 0 0 30 12 0", 0, 0ms },
};

load::round_figures
Round(double aPerSecond)
{
  load::round_figures round;
  round.perSecond = aPerSecond;
  return round;
}

} // namespace

TEST_GROUP(load_overhead){};

TEST(load_overhead, processor_time)
{
  for (const auto& row : kStatRows) {
    const auto time = load::ParseProcessorTime(row.stat, row.ticks);
    CHECK_TEXT(time == row.expect, row.name);
  }
}

TEST(load_overhead, median_round)
{
  DOUBLES_EQUAL(0, load::MedianRound({}).perSecond, 0);
  const std::vector<load::round_figures> rounds{ Round(5), Round(1), Round(3) };
  DOUBLES_EQUAL(3, load::MedianRound(rounds).perSecond, 0);
}
