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
using test::ReceiveReachUpdate;

namespace {

void
StartDraining(monitor_fixture& aFixture)
{
  aFixture.monitor.Configure({ { "a", false, true }, { "b" }, { "c" } },
                             aFixture.now);
}

struct draining_row
{
  const char* name;
  /// What happens to the primary, which is draining from then on.
  std::function<void(monitor_fixture&)> given;
  /// What happens half a second later.
  std::function<void(monitor_fixture&)> later;
  /// Maximum time until another server is primary.
  std::chrono::milliseconds atMost;
};

const draining_row kDrainingRows[] = {
  { "this VM reaches it", StartDraining, [](monitor_fixture&) {}, 1000ms },
  { "only other VMs reach it",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.servers["a"].answersThroughOthers = true;
      aFixture.vms = { { "vm-2" } };
      aFixture.onStep = [&aFixture] {
        ReceiveReachUpdate(aFixture, "vm-2", 0);
      };
      StartDraining(aFixture);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "only other VMs reach it, long before it drains",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.vms = { { "vm-2" } };
      aFixture.onStep = [&aFixture] {
        ReceiveReachUpdate(aFixture, "vm-2", 0);
      };
      aFixture.Run(3000ms);
      StartDraining(aFixture);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it stops answering as it drains",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      StartDraining(aFixture);
    },
    [](monitor_fixture&) {},
    3500ms },
  { "it exits while the takeover waits for it",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      StartDraining(aFixture);
    },
    [](monitor_fixture& aFixture) {
      aFixture.monitor.Configure({ { "b" }, { "c" } }, aFixture.now);
    },
    3500ms },
};

} // namespace

TEST_GROUP(draining_primary){};

TEST(draining_primary, is_replaced_whichever_VM_reaches_it)
{
  for (const auto& row : kDrainingRows) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    CHECK_TEXT(fixture.monitor.Confirmation().primary == "a", row.name);
    row.given(fixture);
    const auto from = fixture.now;
    fixture.Run(500ms);
    row.later(fixture);
    while (fixture.monitor.Confirmation().term != 2 &&
           fixture.now < from + 20s) {
      fixture.Run(kStep);
    }
    CHECK_TEXT(fixture.monitor.Confirmation().term == 2, row.name);
    CHECK_TEXT(fixture.monitor.Confirmation().primary != "a", row.name);
    CHECK_TEXT(fixture.now - from <= row.atMost, row.name);
  }
}
