// The order of a lock holder that stopped or was lost may still be carried out.
// Its successor must not order another server meanwhile.
#include <algorithm>
#include <chrono>
#include <string>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStep;
using test::monitor_fixture;

namespace {

constexpr auto kOrderTime = 2000ms;

struct inherited_row
{
  const char* name;
  /// The record that the previous holder left.
  lead::term_history terms;
  bool isOrderedDraining;
  /// The server that is ordered first, and whether only after the time within
  /// which the earlier order may take effect.
  std::string expect;
  bool waits;
};

const inherited_row kRows[] = {
  { "the ordered server can be ordered again at once",
    { 1, "b", { { 1, 10 } } },
    false,
    "b",
    false },
  { "another server is not ordered while the order may take effect",
    { 1, "b", { { 1, 10 } } },
    true,
    "c",
    true },
  { "no order is recorded for the term", { 0, "", {} }, false, "c", false },
  { "the version of the previous holder did not record the server",
    { 1, "", { { 1, 10 } } },
    true,
    "c",
    false },
};

} // namespace

TEST_GROUP(inherited_orders){};

TEST(inherited_orders, are_not_followed_by_an_order_for_another_server)
{
  for (const auto& row : kRows) {
    monitor_fixture fixture;
    fixture.servers["a"].primary = false;
    fixture.servers["a"].answers = false;
    fixture.servers["b"].received = { 1, 9 };
    fixture.servers["c"].received = { 1, 10 };
    fixture.monitor.Configure(
      { { "a" }, { "b", false, row.isOrderedDraining }, { "c" } }, fixture.now);
    fixture.monitor.SetTerms(row.terms, fixture.now);
    fixture.Run(500ms);
    fixture.monitor.SetFailoverLock(true, 8, fixture.now);
    const auto heldSince = fixture.now;
    while (fixture.promoted.empty() && fixture.now < heldSince + 10s) {
      fixture.Run(kStep);
    }
    CHECK_TEXT(!fixture.promoted.empty(), row.name);
    CHECK_TEXT(fixture.promoted.front() == row.expect, row.name);
    const auto waited = fixture.now - heldSince;
    if (row.waits) {
      CHECK_TEXT(waited >= kOrderTime && waited < kOrderTime + 300ms, row.name);
    }
  }
}

// The same order twice begins two terms. No other server may be ordered before
// the second one has begun.
TEST(inherited_orders, that_were_repeated_depose_no_later_primary)
{
  monitor_fixture fixture;
  fixture.promotionDelay = 1500ms;
  fixture.servers["a"].primary = false;
  fixture.servers["a"].answers = false;
  fixture.monitor.SetTerms({ 1, "b", { { 1, 10 } } }, fixture.now);
  fixture.Run(500ms);
  fixture.monitor.SetFailoverLock(true, 8, fixture.now);
  while (fixture.promoted.empty() && fixture.now < test::kStart + 10s) {
    fixture.Run(kStep);
  }
  CHECK(!fixture.promoted.empty() && fixture.promoted.front() == "b");
  fixture.pendingPromotions.insert(fixture.pendingPromotions.begin(),
                                   { "b", fixture.now + 100ms });
  while (fixture.monitor.Confirmation().primary != "b" &&
         fixture.now < test::kStart + 20s) {
    fixture.Run(kStep);
  }
  fixture.promotionDelay = 100ms;
  fixture.onStep = [&fixture] {
    auto& pending = fixture.pendingPromotions;
    std::stable_sort(pending.begin(),
                     pending.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.at < aRight.at;
                     });
  };
  fixture.monitor.Configure({ { "a" }, { "b", false, true }, { "c" } },
                            fixture.now);
  fixture.Run(8s);
  CHECK_EQUAL(0, fixture.unsafePromotions);
  CHECK(fixture.monitor.Confirmation().primary == "c");
  CHECK(fixture.servers["c"].primary);
}
