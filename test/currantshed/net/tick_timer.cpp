#include "currantshed/net/tick_timer.hpp"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace net = currantshed::net;
using currantshed::clock::time_point;

namespace {

struct tick_row
{
  const char* name;
  std::vector<time_point> requested;
  int expected;
};

/// Times in the past, so that the timer expires immediately.
std::vector<tick_row>
TickRows()
{
  constexpr time_point kFirst{ 1s };
  constexpr time_point kSecond{ 2s };
  return {
    { "no time requested", {}, 0 },
    { "one time", { kFirst }, 1 },
    { "an earlier time replaces a later one", { kSecond, kFirst }, 1 },
    { "a later time is ignored", { kFirst, kSecond }, 1 },
  };
}

} // namespace

TEST_GROUP(tick_timer){};

TEST(tick_timer, ticks)
{
  for (const auto& row : TickRows()) {
    boost::asio::io_context context;
    int ticks = 0;
    net::tick_timer timer(context, [&] { ++ticks; });
    for (const auto due : row.requested) {
      timer.ScheduleAt(due);
    }
    context.run();
    CHECK_EQUAL_TEXT(row.expected, ticks, row.name);
  }
}

TEST(tick_timer, a_stopped_timer_is_silent)
{
  boost::asio::io_context context;
  int ticks = 0;
  net::tick_timer timer(context, [&] { ++ticks; });
  timer.ScheduleAt(time_point::max() - 1h);
  timer.Stop();
  context.run();
  CHECK_EQUAL(0, ticks);
}
