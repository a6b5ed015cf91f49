#include "currantshed/node/check_schedule.hpp"

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

TEST_GROUP(check_schedule){};

TEST(check_schedule, Later_ones_ask_once_those_before_say_nothing)
{
  for (const auto& row : kPlaces) {
    node::check_schedule made;
    made.SetPlace(row.place);
    CHECK(made.Due(kStart) == kStart + row.due);
  }
}

TEST(check_schedule, One_call_at_a_time)
{
  node::check_schedule made;
  made.Asked();
  CHECK(made.Due(kStart) == clock::time_point::max());
  made.Answered(true, kStart);
  CHECK(made.Due(kStart) == kStart + 600ms);
}

TEST(check_schedule, Failures_pause_longer_each_time)
{
  node::check_schedule made;
  for (const auto pause : { 150ms, 300ms, 600ms, 1200ms, 1200ms }) {
    made.Asked();
    made.Answered(false, kStart);
    CHECK(made.Due(kStart - 60s) == kStart + pause);
  }
  made.Asked();
  made.Answered(true, kStart);
  made.Asked();
  made.Answered(false, kStart);
  CHECK(made.Due(kStart - 60s) == kStart + 150ms);
}
