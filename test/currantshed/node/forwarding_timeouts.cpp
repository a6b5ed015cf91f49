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

struct transfer_row
{
  const char* name;
  std::chrono::milliseconds bound;
  std::chrono::milliseconds chunk;
  std::chrono::milliseconds total;
};

constexpr transfer_row kTransfers[] = {
  { "a short bound", 3000ms, 400ms, 1200ms },
  { "a bound of five seconds", 5000ms, 500ms, 2000ms },
  { "a long bound", 8000ms, 800ms, 3200ms },
};

} // namespace

TEST_GROUP(forwarding_timeouts){};

// VMs gave up transfers that were still making progress and turned to the
// store, all at once.
TEST(forwarding_timeouts, transfers_get_a_part_of_the_bound)
{
  for (const auto& row : kTransfers) {
    const forwarding_timeouts timeouts(row.bound);
    CHECK_TEXT(timeouts.ChunkTimeout() == row.chunk, row.name);
    CHECK_TEXT(timeouts.TransferTimeout() == row.total, row.name);
    CHECK_TEXT(timeouts.MaxLag(0.0) < timeouts.MaxLag(0.99), row.name);
    // What a VM then reads from the store must be in force in time as well.
    CHECK_TEXT(timeouts.MaxLag(0.99) <= row.bound * 3 / 5, row.name);
    CHECK_TEXT(timeouts.RecoveryTimeout() < timeouts.MaxLag(0.0), row.name);
  }
}

TEST(forwarding_timeouts, a_forwarder_that_answers_is_waited_for)
{
  for (const auto& row : kRows) {
    const auto now = kStart + row.age;
    const auto until = forwarding_timeouts(row.bound).ForwardedUntil(
      row.isConfiguration, kStart, now);
    CHECK_TEXT(until == now + row.expect, row.name);
  }
}
