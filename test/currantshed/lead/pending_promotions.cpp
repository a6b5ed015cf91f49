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

struct promotion_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// Called as soon as another server is primary for the first time.
  std::function<void(monitor_fixture&)> then;
};

void
StartDraining(monitor_fixture& aFixture, bool aBDrains)
{
  aFixture.monitor.Configure(
    { { "a", false, true }, { "b", false, aBDrains }, { "c" }, { "d" } },
    aFixture.now);
}

/// The promoted server drains, and as soon as another one has been requested, a
/// third one has the longest log.
void
DrainAndCatchUp(monitor_fixture& aFixture)
{
  StartDraining(aFixture, true);
  aFixture.onStep = [&aFixture] {
    if (aFixture.promoted.back() == "c") {
      aFixture.servers["d"].received = { 1, 20 };
    }
  };
}

const promotion_row kRows[] = {
  { "the promoted server drains at once",
    [](monitor_fixture& aFixture) { StartDraining(aFixture, false); },
    DrainAndCatchUp },
  { "the promoted server is lost at once",
    [](monitor_fixture& aFixture) { StartDraining(aFixture, false); },
    [](monitor_fixture& aFixture) { aFixture.servers["b"].answers = false; } },
  { "it drains at once, and requests were accepted without a response",
    [](monitor_fixture& aFixture) {
      aFixture.answersRequests = false;
      StartDraining(aFixture, false);
    },
    DrainAndCatchUp },
  { "a request of the previous lock holder takes effect during the takeover",
    [](monitor_fixture& aFixture) {
      aFixture.pendingPromotions.push_back({ "d", aFixture.now + 700ms });
      StartDraining(aFixture, false);
    },
    [](monitor_fixture&) {} },
};

struct repeat_row
{
  const char* name;
  bool withholdsAnswers;
  bool answersRequests;
  /// Requests within 1.5 s of the first one.
  std::size_t requests;
};

const repeat_row kRepeatRows[] = {
  { "the request is in progress", true, true, 1 },
  { "the request was accepted", false, true, 1 },
  { "each request times out at once", false, false, 16 },
};

} // namespace

TEST_GROUP(pending_promotions){};

TEST(pending_promotions, depose_no_confirmed_primary)
{
  for (const auto& row : kRows) {
    monitor_fixture fixture;
    fixture.promotionDelay = 1000ms;
    fixture.servers["d"];
    fixture.servers["b"].received = { 1, 11 };
    fixture.servers["c"].received = { 1, 11 };
    fixture.monitor.Configure({ { "a" }, { "b" }, { "c" }, { "d" } },
                              fixture.now);
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    row.given(fixture);
    const auto from = fixture.now;
    bool isChanged = false;
    while (fixture.now < from + 15s) {
      fixture.Run(kStep);
      if (!isChanged && fixture.monitor.Confirmation().term > 1) {
        isChanged = true;
        row.then(fixture);
      }
    }
    CHECK_TEXT(isChanged, row.name);
    CHECK_EQUAL_TEXT(0, fixture.unsafePromotions, row.name);
    // In the end a server that stays is the confirmed primary.
    const auto& confirmation = fixture.monitor.Confirmation();
    CHECK_TEXT(fixture.now < confirmation.askedAt + 1000ms, row.name);
    CHECK_TEXT(fixture.servers[confirmation.primary].primary, row.name);
    CHECK_TEXT(confirmation.primary != "a", row.name);
    // Each term before it is recorded as replaced.
    CHECK_TEXT(fixture.recorded.replaced + 1 == confirmation.term, row.name);
  }
}

// Guards against requests that pile up behind one that is not answered.
TEST(pending_promotions, are_not_repeated_before_they_are_answered)
{
  for (const auto& row : kRepeatRows) {
    monitor_fixture fixture;
    fixture.promotionDelay = 10s;
    fixture.withholdsAnswers = row.withholdsAnswers;
    fixture.answersRequests = row.answersRequests;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    StartDraining(fixture, false);
    while (fixture.promoted.empty() && fixture.now < test::kStart + 10s) {
      fixture.Run(kStep);
    }
    fixture.Run(1500ms);
    CHECK_TEXT(!fixture.promoted.empty() &&
                 fixture.promoted.size() <= row.requests,
               row.name);
  }
}
