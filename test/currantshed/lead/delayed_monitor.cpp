// A VM with a high scheduling delay must not conclude that a primary is lost
// while other VMs use it. VMs that ran at a sixth of their speed started
// takeovers, although some 290 other VMs could reach the primaries: answers and
// updates lay unread at the slow VMs for as long as their own delay. They saw
// 984 to 1266 ms of silence and a last reachability update that was 839 to 1361
// ms old, with delays of 572 to 859 ms. For a primary that was really cut off,
// a VM without delay (5 ms) saw 729 ms of silence and an update that was 907 ms
// old.
#include <chrono>
#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStart;
using test::kStep;
using test::monitor_fixture;

namespace {

struct delay_row
{
  const char* name;
  /// Scheduling delay of the VM.
  std::chrono::milliseconds delay;
  /// Whose answers it reads in time.
  bool readsPrimary;
  bool readsOthers;
  /// Age of the latest reachability update on the primary when it is read; long
  /// if no VM reaches the primary.
  std::chrono::milliseconds updateAge;
  /// Maximum time until the primary is replaced; zero if it must stay.
  std::chrono::milliseconds atMost;
};

const delay_row kDelayRows[] = {
  { "delayed, and reads no answers", 660ms, false, false, 840ms, 0ms },
  { "delayed more, and reads no answers", 860ms, false, false, 1290ms, 0ms },
  { "delayed, and reads the replicas' answers",
    570ms,
    false,
    true,
    1000ms,
    0ms },
  { "not delayed, and reads no answers", 0ms, false, false, 5000ms, 0ms },
  { "not delayed, the primary does not answer",
    0ms,
    false,
    true,
    5000ms,
    1600ms },
  { "delayed, the primary does not answer",
    400ms,
    false,
    true,
    20000ms,
    5000ms },
};

} // namespace

TEST_GROUP(delayed_monitor){};

TEST(delayed_monitor, declares_no_primary_lost_that_others_use)
{
  for (const auto& row : kDelayRows) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    CHECK_TEXT(fixture.monitor.Confirmation().primary == "a", row.name);
    fixture.queryTimeout = 200ms;
    fixture.servers["a"].answers = row.readsPrimary;
    fixture.servers["b"].answers = row.readsOthers;
    fixture.servers["c"].answers = row.readsOthers;
    const auto from = fixture.now;
    while (fixture.now < from + 5s && fixture.promoted.empty()) {
      fixture.now += row.delay;
      const auto heardAt = fixture.now - row.updateAge;
      fixture.monitor.ReachUpdateReceived(
        "vm-2", { 1, "a", heardAt, 0, heardAt }, fixture.now);
      fixture.Run(kStep);
    }
    const auto took = fixture.now - from;
    if (row.atMost == 0ms) {
      CHECK_TEXT(fixture.revocations.empty(), row.name);
      CHECK_TEXT(fixture.promoted.empty(), row.name);
    } else {
      CHECK_TEXT(!fixture.promoted.empty(), row.name);
      CHECK_TEXT(took <= row.atMost, row.name);
    }
  }
}

// The lock holder asks for other VMs' reachability updates on the primary only
// while it suspects the primary.
TEST(delayed_monitor, suspects_a_primary_that_does_not_answer)
{
  struct row
  {
    const char* name;
    bool holdsLock;
    bool answers;
    bool suspects;
  };
  const row rows[] = {
    { "the primary answers", true, true, false },
    { "the primary does not answer", true, false, true },
    { "another VM monitors the group", false, false, false },
  };
  for (const auto& row : rows) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(row.holdsLock, 7, fixture.now);
    fixture.monitor.ConfirmationNeeded(fixture.now);
    fixture.Run(500ms);
    CHECK_FALSE_TEXT(fixture.monitor.SuspectsPrimary(fixture.now), row.name);
    fixture.servers["a"].answers = row.answers;
    fixture.Run(500ms);
    CHECK_EQUAL_TEXT(
      row.suspects, fixture.monitor.SuspectsPrimary(fixture.now), row.name);
  }
}
