#include "currantshed/log/line_rate_limiter.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

int
CountWritten(log::line_rate_limiter& aLimiter,
             bool aIsHighPriority,
             int aLines,
             clock::time_point aNow)
{
  int written = 0;
  for (int line = 0; line < aLines; ++line) {
    written += aLimiter.TryAcquire(aIsHighPriority, aNow) ? 1 : 0;
  }
  return written;
}

} // namespace

TEST_GROUP(line_rate_limiter){};

TEST(line_rate_limiter, bounds_lines_and_counts_the_rest)
{
  log::line_rate_limiter limiter(10, 40);
  CHECK_EQUAL(30, CountWritten(limiter, false, 100, kStart));
  // The reserved share is available to high-priority lines only.
  CHECK_EQUAL(10, CountWritten(limiter, true, 100, kStart));
  CHECK_EQUAL(160, static_cast<int>(limiter.TakeDropped()));
  CHECK_EQUAL(0, static_cast<int>(limiter.TakeDropped()));
  CHECK_EQUAL(10, CountWritten(limiter, false, 100, kStart + 2s));
}
