#include <chrono>

#include <CppUTest/TestHarness.h>

#include "currantshed/node/internal/forwarding_timeouts.hpp"

using namespace currantshed;
using namespace std::chrono_literals;
using node::internal::forwarding_timeouts;

namespace {

constexpr clock::time_point kStart{ 1h };

struct row
{
  const char* name;
  std::chrono::milliseconds bound;
  bool isConfiguration;
  /// How long ago the keys were surely the store's, as an answer came.
  std::chrono::milliseconds age;
  /// How long they count from the answer on.
  std::chrono::milliseconds expect;
};

constexpr row kRows[] = {
  { "a configuration, fresh", 3000ms, true, 0ms, 1800ms },
  { "a configuration, at the end of its time", 3000ms, true, 1800ms, 0ms },
  { "others, fresh", 3000ms, false, 100ms, 2400ms },
  { "others, at the end of their time", 3000ms, false, 2500ms, 0ms },
  { "a wider bound, fresh", 8000ms, true, 0ms, 1800ms },
  { "a wider bound, a feeder that is behind", 8000ms, true, 1700ms, 1200ms },
  { "a wider bound, far behind", 8000ms, true, 4000ms, 800ms },
  { "a wider bound, too far behind", 8000ms, true, 4800ms, 0ms },
  { "others, a feeder that is behind", 8000ms, false, 5000ms, 1200ms },
  { "a bound below all", 1000ms, true, 0ms, 1800ms },
};

} // namespace

TEST_GROUP(forwarding_timeouts){};

TEST(forwarding_timeouts, a_forwarder_that_answers_is_waited_for)
{
  for (const auto& row : kRows) {
    const auto now = kStart + row.age;
    const auto until = forwarding_timeouts(row.bound).ForwardedUntil(
      row.isConfiguration, kStart, now);
    CHECK_TEXT(until == now + row.expect, row.name);
  }
}
