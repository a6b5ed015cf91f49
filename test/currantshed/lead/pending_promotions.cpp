// A promotion request that takes effect late must not replace a primary that is
// in use. The platform takes 1 s from a promotion request to its effect. A
// takeover repeated its request every 400 ms, so that two more were in flight
// when the first took effect. The new primary then drained as well; the next
// takeover demoted it, and the requests in flight promoted it again. The
// takeover mistook this for its own success and started again, until a late
// request replaced a primary with a valid confirmation, which acknowledged a
// commit after the next promotion.
#include <chrono>
#include <functional>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStep;
using test::monitor_fixture;

namespace {

struct order_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// Called as soon as another server is primary for the first time.
  std::function<void(monitor_fixture&)> then;
};

void
Leave(monitor_fixture& aBench, bool aSecond)
{
  aBench.lead.Configure(
    { { "a", false, true }, { "b", false, aSecond }, { "c" }, { "d" } },
    aBench.now);
}

/// The promoted server drains, and as soon as another one has been requested, a
/// third one has the longest log.
void
LeaveAndCatchUp(monitor_fixture& aBench)
{
  Leave(aBench, true);
  aBench.everyStep = [&aBench] {
    if (aBench.promoted.back() == "c") {
      aBench.servers["d"].received = { 1, 20 };
    }
  };
}

const order_row kRows[] = {
  { "the promoted server drains at once",
    [](monitor_fixture& aBench) { Leave(aBench, false); },
    LeaveAndCatchUp },
  { "the promoted server is lost at once",
    [](monitor_fixture& aBench) { Leave(aBench, false); },
    [](monitor_fixture& aBench) { aBench.servers["b"].answers = false; } },
  { "it drains at once, and requests were accepted without a response",
    [](monitor_fixture& aBench) {
      aBench.answersOrders = false;
      Leave(aBench, false);
    },
    LeaveAndCatchUp },
  { "a request of the previous lock holder takes effect during the takeover",
    [](monitor_fixture& aBench) {
      aBench.promoting.push_back({ "d", aBench.now + 700ms });
      Leave(aBench, false);
    },
    [](monitor_fixture&) {} },
};

} // namespace

TEST_GROUP(pending_promotions){};

TEST(pending_promotions, depose_no_confirmed_primary)
{
  for (const auto& row : kRows) {
    monitor_fixture made;
    made.promotesAfter = 1000ms;
    made.servers["d"];
    made.servers["b"].received = { 1, 11 };
    made.servers["c"].received = { 1, 11 };
    made.lead.Configure({ { "a" }, { "b" }, { "c" }, { "d" } }, made.now);
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(2000ms);
    row.given(made);
    const auto from = made.now;
    bool isChanged = false;
    while (made.now < from + 15s) {
      made.Run(kStep);
      if (!isChanged && made.lead.Confirmation().term > 1) {
        isChanged = true;
        row.then(made);
      }
    }
    CHECK_TEXT(isChanged, row.name);
    CHECK_EQUAL_TEXT(0, made.unsafe, row.name);
    // In the end a server that stays is the confirmed primary.
    const auto& confirmation = made.lead.Confirmation();
    CHECK_TEXT(made.now < confirmation.askedAt + 1000ms, row.name);
    CHECK_TEXT(made.servers[confirmation.primary].primary, row.name);
    CHECK_TEXT(confirmation.primary != "a", row.name);
  }
}
