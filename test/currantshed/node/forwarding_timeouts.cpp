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
  /// Time since the keys are known to have matched the store.
  std::chrono::milliseconds age;
  /// How much longer the keys count as current.
  std::chrono::milliseconds expect;
};

constexpr row kRows[] = {
  { "configuration, current", 3000ms, true, 0ms, 1800ms },
  { "configuration, at the end of its time", 3000ms, true, 1800ms, 0ms },
  { "other keys, current", 3000ms, false, 100ms, 2400ms },
  { "other keys, at the end of their time", 3000ms, false, 2500ms, 0ms },
  { "a longer bound, current", 8000ms, true, 0ms, 1800ms },
  { "a longer bound, the forwarder is behind", 8000ms, true, 1700ms, 1200ms },
  { "a longer bound, far behind", 8000ms, true, 4000ms, 800ms },
  { "a longer bound, too far behind", 8000ms, true, 4800ms, 0ms },
  { "other keys, the forwarder is behind", 8000ms, false, 5000ms, 1200ms },
  { "a bound shorter than the defaults", 1000ms, true, 0ms, 1800ms },
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
