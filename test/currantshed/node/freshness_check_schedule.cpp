#include "currantshed/node/freshness_check_schedule.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

struct place_row
{
  std::size_t place;
  std::chrono::milliseconds due;
};

constexpr place_row kPlaces[] = {
  { 0, 600ms }, { 1, 900ms }, { 5, 2100ms }, { 6, 2400ms }, { 400, 2400ms },
};

} // namespace

TEST_GROUP(freshness_check_schedule){};

TEST(freshness_check_schedule, Later_ones_ask_once_those_before_say_nothing)
{
  for (const auto& row : kPlaces) {
    node::freshness_check_schedule made;
    made.SetRank(row.place);
    CHECK(made.NextCheck(kStart) == kStart + row.due);
  }
}

TEST(freshness_check_schedule, One_call_at_a_time)
{
  node::freshness_check_schedule made;
  made.OnRequestSent();
  CHECK(made.NextCheck(kStart) == clock::time_point::max());
  made.OnResponse(true, kStart);
  CHECK(made.NextCheck(kStart) == kStart + 600ms);
}

TEST(freshness_check_schedule, Failures_pause_longer_each_time)
{
  node::freshness_check_schedule made;
  for (const auto pause : { 150ms, 300ms, 600ms, 1200ms, 1200ms }) {
    made.OnRequestSent();
    made.OnResponse(false, kStart);
    CHECK(made.NextCheck(kStart - 60s) == kStart + pause);
  }
  made.OnRequestSent();
  made.OnResponse(true, kStart);
  made.OnRequestSent();
  made.OnResponse(false, kStart);
  CHECK(made.NextCheck(kStart - 60s) == kStart + 150ms);
}
