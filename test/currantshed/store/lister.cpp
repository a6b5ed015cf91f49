#include "currantshed/store/lister.hpp"

#include <chrono>
#include <vector>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::clock::time_point;
using currantshed::store::errc;
using currantshed::store::lister;

namespace {

constexpr time_point kStart{ 1h };
constexpr double kLowest = 0.0;
constexpr double kHalf = 0.5;

struct call_step
{
  std::error_code error;
  /// Duration of the call.
  std::chrono::milliseconds took;
  double random;
  /// Time from the end of the call to the start of the next one.
  std::chrono::milliseconds wait;
};

struct lister_row
{
  const char* name;
  std::vector<call_step> steps;
};

const lister_row kRows[] = {
  { "the interval is measured from start to start",
    { { {}, 0ms, kHalf, 5s }, { {}, 2s, kHalf, 3s } } },
  { "jitter in both directions",
    { { {}, 0ms, kLowest, 4s }, { {}, 0ms, 0.75, 5500ms } } },
  { "a call longer than the interval is followed immediately",
    { { {}, 7s, kHalf, 0ms } } },
  { "backoff during an outage, periodic again afterwards",
    { { errc::kUnreachable, 0ms, kHalf, 300ms },
      { errc::kTimeout, 0ms, kHalf, 500ms },
      { errc::kUnavailable, 0ms, kHalf, 900ms },
      { {}, 0ms, kHalf, 5s },
      { errc::kUnreachable, 0ms, kHalf, 300ms } } },
};

} // namespace

TEST_GROUP(lister){};

TEST(lister, rows)
{
  for (const auto& row : kRows) {
    auto now = kStart;
    lister subject({ 5s, { 200ms, 1600ms } }, now);
    for (const auto& step : row.steps) {
      CHECK_TEXT(subject.Tick(now), row.name);
      CHECK_FALSE_TEXT(subject.Tick(now + 1h), row.name);
      CHECK_FALSE_TEXT(subject.NextTick().has_value(), row.name);
      now += step.took;
      subject.Ended(step.error, now, step.random);
      CHECK_TEXT(*subject.NextTick() == now + step.wait, row.name);
      CHECK_FALSE_TEXT(subject.Tick(now + step.wait - 1ms), row.name);
      now += step.wait;
    }
  }
}

TEST(lister, tells_when_the_platform_last_answered)
{
  lister subject({}, kStart);
  CHECK_FALSE(subject.LastAnswer().has_value());
  subject.Ended({}, kStart + 1s, kHalf);
  subject.Ended(errc::kTimeout, kStart + 9s, kHalf);
  CHECK(*subject.LastAnswer() == kStart + 1s);
}
