// A primary said that it leaves while the VM that held the duty to replace it
// had no way of its own to it; other VMs had. The change waited for the primary
// to step down, which it could only do on that VM's word, so it waited until
// the day ended. After five seconds the other VMs took the change for given up
// and used the leaving primary again, up to its exit; after that nothing led
// the group. The lines that settled it:
//   9.013 lead step=begun detail=draining old=i-e17904285a term=1
//   10.014 lead step=waits at=fence since_ms=1000 old_listed=1 members=4
//   fenced=0 14.015 lead step=revocation_lapsed term=1 (on each of the other
//   VMs) 16.016 a request reaches i-e17904285a, 7006 ms after it said that it
//   leaves 37.032 lead step=waits at=fence since_ms=28019 old_listed=0
//   members=3 fenced=0
#include <chrono>
#include <functional>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStep;
using test::monitor_fixture;
using test::ReachOf;

namespace {

void
Leave(monitor_fixture& aBench)
{
  aBench.lead.Configure({ { "a", false, true }, { "b" }, { "c" } }, aBench.now);
}

struct leaving_row
{
  const char* name;
  /// What becomes of the primary, which leaves then.
  std::function<void(monitor_fixture&)> given;
  /// What happens half a second after that.
  std::function<void(monitor_fixture&)> later;
  /// Within which time another server leads.
  std::chrono::milliseconds atMost;
};

const leaving_row kLeavingRows[] = {
  { "it is reached by this VM", Leave, [](monitor_fixture&) {}, 1000ms },
  { "only other VMs reach it",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["a"].answersOthers = true;
      aBench.vms = { { "vm-2" } };
      aBench.everyStep = [&aBench] { ReachOf(aBench, "vm-2", 0); };
      Leave(aBench);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "only other VMs reach it, for long before it leaves",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
      aBench.everyStep = [&aBench] { ReachOf(aBench, "vm-2", 0); };
      aBench.Run(3000ms);
      Leave(aBench);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it falls silent as it leaves",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      Leave(aBench);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it exits while the change waits for it",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      Leave(aBench);
    },
    [](monitor_fixture& aBench) {
      aBench.lead.Configure({ { "b" }, { "c" } }, aBench.now);
    },
    3500ms },
};

} // namespace

TEST_GROUP(draining_primary){};

TEST(draining_primary, is_replaced_whichever_VM_reaches_it)
{
  for (const auto& row : kLeavingRows) {
    monitor_fixture made;
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(2000ms);
    CHECK_TEXT(made.lead.Confirmation().primary == "a", row.name);
    row.given(made);
    const auto from = made.now;
    made.Run(500ms);
    row.later(made);
    while (made.lead.Confirmation().term != 2 && made.now < from + 20s) {
      made.Run(kStep);
    }
    CHECK_TEXT(made.lead.Confirmation().term == 2, row.name);
    CHECK_TEXT(made.lead.Confirmation().primary != "a", row.name);
    CHECK_TEXT(made.now - from <= row.atMost, row.name);
  }
}
