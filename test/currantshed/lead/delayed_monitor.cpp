// VMs that ran at a sixth of their speed took the primaries that they watched
// for lost, though some 290 other VMs used them. What the judgements rested on,
// as the lines said (scale-2 at full size):
//   14.29 lost silent_ms=984 members_silent=3 last_word_ms=0
//         heard_elsewhere_ms=839 late_ms=662
//   14.65 lost silent_ms=1135 members_silent=3 heard_elsewhere_ms=1284
//         late_ms=859
//   14.70 lost silent_ms=1266 members_silent=3 heard_elsewhere_ms=1361
//         late_ms=572
// A primary that was truly cut off, on the same day, by a VM in time:
//   4.23 lost silent_ms=729 members_silent=1 heard_elsewhere_ms=907 late_ms=5
// Answers and words lay unread at the VM that judged; it was late by as much.
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

struct watcher_row
{
  const char* name;
  /// By how much the VM runs late.
  std::chrono::milliseconds late;
  /// Which servers' answers it reads in time.
  bool readsPrimary;
  bool readsOthers;
  /// How old the last word of another VM on the primary is, when it is read;
  /// none where no VM hears the primary.
  std::chrono::milliseconds heardBefore;
  /// Within which time the primary is replaced; zero for never.
  std::chrono::milliseconds atMost;
};

const watcher_row kWatcherRows[] = {
  { "late, and reads nothing", 660ms, false, false, 840ms, 0ms },
  { "later still", 860ms, false, false, 1290ms, 0ms },
  { "late, and reads others' answers", 570ms, false, true, 1000ms, 0ms },
  { "in time, and reads nothing", 0ms, false, false, 5000ms, 0ms },
  { "in time, the primary is silent", 0ms, false, true, 5000ms, 1600ms },
  { "late, the primary is silent", 400ms, false, true, 20000ms, 5000ms },
};

} // namespace

TEST_GROUP(delayed_monitor){};

TEST(delayed_monitor, declares_no_primary_lost_that_others_use)
{
  for (const auto& row : kWatcherRows) {
    monitor_fixture made;
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(2000ms);
    CHECK_TEXT(made.lead.Confirmation().primary == "a", row.name);
    made.failsAfter = 200ms;
    made.servers["a"].answers = row.readsPrimary;
    made.servers["b"].answers = row.readsOthers;
    made.servers["c"].answers = row.readsOthers;
    const auto from = made.now;
    while (made.now < from + 5s && made.promoted.empty()) {
      made.now += row.late;
      const auto heardAt = made.now - row.heardBefore;
      made.lead.ReachUpdateReceived(
        "vm-2", { 1, "a", heardAt, 0, heardAt }, made.now);
      made.Run(kStep);
    }
    const auto took = made.now - from;
    if (row.atMost == 0ms) {
      CHECK_TEXT(made.revocations.empty(), row.name);
      CHECK_TEXT(made.promoted.empty(), row.name);
    } else {
      CHECK_TEXT(!made.promoted.empty(), row.name);
      CHECK_TEXT(took <= row.atMost, row.name);
    }
  }
}

// Whoever watches a group asks for others' words on its primary only then.
TEST(delayed_monitor, suspects_a_primary_that_does_not_answer)
{
  struct row
  {
    const char* name;
    bool holdsLock;
    bool answers;
    bool doubts;
  };
  const row rows[] = {
    { "the primary answers", true, true, false },
    { "the primary is silent", true, false, true },
    { "another VM watches", false, false, false },
  };
  for (const auto& row : rows) {
    monitor_fixture made;
    made.lead.SetFailoverLock(row.holdsLock, 7, made.now);
    made.lead.ConfirmationNeeded(made.now);
    made.Run(500ms);
    CHECK_FALSE_TEXT(made.lead.SuspectsPrimary(made.now), row.name);
    made.servers["a"].answers = row.answers;
    made.Run(500ms);
    CHECK_EQUAL_TEXT(row.doubts, made.lead.SuspectsPrimary(made.now), row.name);
  }
}
