// A draining primary must be replaced even if the lock holder cannot reach it.
// Only other VMs could reach it, and the takeover waited without limit for the
// primary to step down, which only the lock holder can tell it to do. After 5 s
// the revocation expired at the other VMs, which used the draining primary
// again until it exited; then the group had no primary.
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
  /// What happens to the primary, which is draining from then on.
  std::function<void(monitor_fixture&)> given;
  /// What happens half a second later.
  std::function<void(monitor_fixture&)> later;
  /// Maximum time until another server is primary.
  std::chrono::milliseconds atMost;
};

const leaving_row kLeavingRows[] = {
  { "this VM reaches it", Leave, [](monitor_fixture&) {}, 1000ms },
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
  { "only other VMs reach it, long before it drains",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
      aBench.everyStep = [&aBench] { ReachOf(aBench, "vm-2", 0); };
      aBench.Run(3000ms);
      Leave(aBench);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it stops answering as it drains",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      Leave(aBench);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it exits while the takeover waits for it",
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
