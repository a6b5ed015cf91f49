// The platform takes a second from an order to promote a server to its effect.
// A change repeated its order every 400 ms, so that two more were under way
// when the first had taken effect. The server that led then left as well; the
// next change demoted it, and the orders still under way promoted it again.
// Each time the change took that for its own success and began anew, and in the
// end an order under way deposed a primary that the VMs rested on. The lines
// that settled it:
//   9.748, 10.141, 10.544 promotion_ordered server=i-76df943433
//   10.809 lead step=done primary=i-76df943433, 10.810 step=begun
//   old=i-76df943433 10.839 promotion_ordered server=i-ae525f7952 11.194 lead
//   step=done primary=i-76df943433, 11.222 ordered i-c30ee705f1 11.889 lead
//   step=done primary=i-ae525f7952 took_ms=292 12.251 commit 5.212 at
//   i-ae525f7952, acknowledged after the next promotion
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
  /// Called as soon as another server leads for the first time.
  std::function<void(monitor_fixture&)> then;
};

void
Leave(monitor_fixture& aBench, bool aSecond)
{
  aBench.lead.Configure(
    { { "a", false, true }, { "b", false, aSecond }, { "c" }, { "d" } },
    aBench.now);
}

/// The server that was promoted leaves, and as soon as another one has been
/// ordered, a third one has the longest log.
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
  { "the server that was promoted leaves at once",
    [](monitor_fixture& aBench) { Leave(aBench, false); },
    LeaveAndCatchUp },
  { "it is lost at once",
    [](monitor_fixture& aBench) { Leave(aBench, false); },
    [](monitor_fixture& aBench) { aBench.servers["b"].answers = false; } },
  { "it leaves at once, and orders were taken without an answer",
    [](monitor_fixture& aBench) {
      aBench.answersOrders = false;
      Leave(aBench, false);
    },
    LeaveAndCatchUp },
  { "an order of the holder before takes effect during the change",
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
    // In the end a server that stays leads, and is proved.
    const auto& confirmation = made.lead.Confirmation();
    CHECK_TEXT(made.now < confirmation.askedAt + 1000ms, row.name);
    CHECK_TEXT(made.servers[confirmation.primary].primary, row.name);
    CHECK_TEXT(confirmation.primary != "a", row.name);
  }
}
