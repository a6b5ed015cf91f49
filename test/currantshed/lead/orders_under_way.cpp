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

#include "test/currantshed/lead/bench.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::bench;
using test::kStep;

namespace {

struct order_row
{
  const char* name;
  std::function<void(bench&)> given;
  /// Called as soon as another server is primary for the first time.
  std::function<void(bench&)> then;
};

void
Leave(bench& aBench, bool aSecond)
{
  aBench.lead.Configure(
    { { "a", false, true }, { "b", false, aSecond }, { "c" }, { "d" } },
    aBench.now);
}

/// The promoted server drains, and as soon as another one has been requested, a
/// third one has the longest log.
void
LeaveAndCatchUp(bench& aBench)
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
    [](bench& aBench) { Leave(aBench, false); },
    LeaveAndCatchUp },
  { "the promoted server is lost at once",
    [](bench& aBench) { Leave(aBench, false); },
    [](bench& aBench) { aBench.servers["b"].answers = false; } },
  { "it drains at once, and requests were accepted without a response",
    [](bench& aBench) {
      aBench.answersOrders = false;
      Leave(aBench, false);
    },
    LeaveAndCatchUp },
  { "a request of the previous lock holder takes effect during the takeover",
    [](bench& aBench) {
      aBench.promoting.push_back({ "d", aBench.now + 700ms });
      Leave(aBench, false);
    },
    [](bench&) {} },
};

} // namespace

TEST_GROUP(orders_under_way){};

TEST(orders_under_way, depose_no_primary_that_is_rested_on)
{
  for (const auto& row : kRows) {
    bench made;
    made.promotesAfter = 1000ms;
    made.servers["d"];
    made.servers["b"].received = { 1, 11 };
    made.servers["c"].received = { 1, 11 };
    made.lead.Configure({ { "a" }, { "b" }, { "c" }, { "d" } }, made.now);
    made.lead.SetDuty(true, 7, made.now);
    made.Run(2000ms);
    row.given(made);
    const auto from = made.now;
    bool isChanged = false;
    while (made.now < from + 15s) {
      made.Run(kStep);
      if (!isChanged && made.lead.Proof().term > 1) {
        isChanged = true;
        row.then(made);
      }
    }
    CHECK_TEXT(isChanged, row.name);
    CHECK_EQUAL_TEXT(0, made.unsafe, row.name);
    // In the end a server that stays is the confirmed primary.
    const auto& proof = made.lead.Proof();
    CHECK_TEXT(made.now < proof.askedAt + 1000ms, row.name);
    CHECK_TEXT(made.servers[proof.primary].primary, row.name);
    CHECK_TEXT(proof.primary != "a", row.name);
  }
}
