#include "currantshed/lead/clock_offset.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace {

constexpr clock::time_point kNow{ 1h };
// How much the other VM's clock is ahead.
constexpr microseconds kAhead{ 5s };

struct delay_row
{
  const char* name;
  std::chrono::milliseconds first;
  std::chrono::milliseconds second;
  std::chrono::milliseconds shortest;
};

constexpr delay_row kRows[] = {
  { "the shorter way counts, when it comes second", 30ms, 2ms, 2ms },
  { "and when it comes first", 2ms, 30ms, 2ms },
};

} // namespace

TEST_GROUP(clock_offset){};

TEST(clock_offset, bounds_from_below)
{
  for (const auto& row : kRows) {
    lead::clock_offset offset;
    CHECK_TEXT(!offset.LowerBound(kNow), row.name);
    offset.AddSample(lead::ToWire(kNow - row.first) + kAhead, kNow);
    offset.AddSample(lead::ToWire(kNow - row.second) + kAhead, kNow);
    const auto bound = offset.LowerBound(kNow);
    CHECK_TEXT(bound && *bound == kAhead - row.shortest, row.name);
    // With time the clocks may have drifted apart.
    CHECK_TEXT(*offset.LowerBound(kNow + 10s) < *bound, row.name);
  }
}

TEST(clock_offset, wire_times_round_trip)
{
  CHECK(lead::FromWire(lead::ToWire(kNow)) == kNow);
}
