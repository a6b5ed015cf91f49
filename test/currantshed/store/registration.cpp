#include "currantshed/store/registration.hpp"

#include <chrono>
#include <functional>

#include "currantshed/store/era_guard.hpp"
#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A VM's registered key, with its view and its store.
struct keeper
{
  keeper()
    : view(store,
           "vm/",
           {},
           { [](clock::time_point) {}, [](bool, std::error_code) {} })
    , registration(store, view, "vm/a", {})
  {
    registration.SetValue("here");
  }

  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      view.Tick(store.now, 0.5);
      registration.Tick(store.now, 0.5);
      store.Answer();
    }
  }

  [[nodiscard]] bool Holds() const
  {
    const auto found = store.items.find("vm/a");
    return found != store.items.end() && found->second.value == "here" &&
           registration.IsListed() && registration.IsWritten() &&
           registration.ValidUntil() > store.now;
  }

  test::fake_key_value store;
  store::prefix_view view;
  store::registration registration;
};

struct trouble_row
{
  const char* name;
  std::function<void(keeper&)> given;
};

const trouble_row kRows[] = {
  { "none", [](keeper&) {} },
  { "the key of a previous process exists",
    [](keeper& aKeeper) { aKeeper.store.Put("vm/a", "before", 99); } },
  { "the lease ended unnoticed",
    [](keeper& aKeeper) { aKeeper.store.EndLease(aKeeper.store.lastLease); } },
  { "the key was removed, the lease was not",
    [](keeper& aKeeper) { aKeeper.store.Remove("vm/a"); } },
  { "an outage longer than the lease",
    [](keeper& aKeeper) {
      aKeeper.store.failing = store::errc::kUnavailable;
      aKeeper.Run(5000ms);
      CHECK(aKeeper.registration.ValidUntil() < aKeeper.store.now);
      aKeeper.store.EndLease(aKeeper.store.lastLease);
      aKeeper.store.failing = {};
    } },
  { "writes with unknown outcome",
    [](keeper& aKeeper) {
      aKeeper.store.commitOutcome = store::commit_outcome::kUnknown;
      aKeeper.store.Remove("vm/a");
      aKeeper.Run(1000ms);
      aKeeper.store.commitOutcome = store::commit_outcome::kApplied;
    } },
  { "a write that was applied but its response lost",
    [](keeper& aKeeper) {
      aKeeper.store.losesAnswers = true;
      aKeeper.store.EndLease(aKeeper.store.lastLease);
      aKeeper.Run(4000ms);
      aKeeper.store.losesAnswers = false;
    } },
};

} // namespace

TEST_GROUP(registration){};

TEST(registration, stands_again_after_each_trouble)
{
  for (const auto& row : kRows) {
    keeper made;
    made.Run(500ms);
    CHECK_TEXT(made.Holds(), row.name);
    row.given(made);
    made.Run(4000ms);
    CHECK_TEXT(made.Holds(), row.name);
  }
}

TEST(registration, tells_that_the_store_is_back)
{
  keeper made;
  int regained = 0;
  made.registration.OnRecovered([&regained] { ++regained; });
  made.Run(2500ms);
  CHECK_EQUAL(0, regained);
  made.store.failing = store::errc::kTimeout;
  made.Run(2500ms);
  made.store.failing = {};
  made.Run(2500ms);
  CHECK_EQUAL(1, regained);
}

TEST(registration, ends_with_its_lease)
{
  keeper made;
  made.Run(500ms);
  made.registration.Revoke();
  CHECK(!made.store.items.contains("vm/a"));
  made.Run(3000ms);
  CHECK(!made.store.items.contains("vm/a"));
}

TEST(registration, moves_to_another_lease_and_is_listed_all_the_while)
{
  const store::lease_times longer{ 4000ms, 1300ms };
  const store::lease_times shorter{ 2000ms, 650ms };
  test::fake_key_value store;
  store::prefix_view view(
    store,
    "vm/",
    {},
    { [](clock::time_point) {}, [](bool, std::error_code) {} });
  store::registration moved(store, view, "vm/a", { longer });
  moved.SetValue("here");
  const auto run = [&](std::chrono::milliseconds aSpan, bool aMustStand) {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      view.Tick(store.now, 0.5);
      moved.Tick(store.now, 0.5);
      store.Answer();
      CHECK(!aMustStand || store.items.contains("vm/a"));
    }
  };
  run(500ms, false);
  CHECK(moved.IsWrittenWith(longer));
  CHECK_FALSE(moved.IsWrittenWith(shorter));
  const auto first = store.lastLease;
  moved.SetLease(shorter);
  CHECK_FALSE(moved.IsWrittenWith(longer));
  run(500ms, true);
  CHECK(moved.IsWrittenWith(shorter));
  // The previous lease expires later.
  store.EndLease(first);
  run(3000ms, true);
  CHECK(moved.IsWrittenWith(shorter));
  CHECK(moved.ValidUntil() <= store.now + 2000ms);
  // Setting the same times again has no effect.
  const auto second = store.lastLease;
  moved.SetLease(shorter);
  run(500ms, true);
  CHECK_EQUAL(second, store.lastLease);
}

// After the store was restored from an older snapshot, the number of this VM's
// lease may identify another VM's lease.
TEST(registration, leaves_a_lease_alone_that_another_vm_was_given)
{
  for (const bool endsThere : { false, true }) {
    test::fake_key_value store;
    store.era = 1;
    store::era_guard guard(
      store,
      { [](const std::function<void()>& aCall) { aCall(); },
        [](std::optional<store::era_id>, store::era_id) {} });
    store::prefix_view view(
      guard,
      "vm/",
      {},
      { [](clock::time_point) {}, [](bool, std::error_code) {} });
    store::registration made(guard, view, "vm/a", {});
    made.SetValue("here");
    const auto run = [&](std::chrono::milliseconds aSpan) {
      for (const auto end = store.now + aSpan; store.now < end;
           store.now += 10ms) {
        view.OnEraChanged(store.now);
        view.Tick(store.now, 0.5);
        made.Tick(store.now, 0.5);
        store.Answer();
      }
    };
    store.TakeSnapshot();
    run(500ms);
    store.RestoreSnapshot();
    const auto others = ++store.lastLease;
    store.leases.insert(others);
    store.Put("vm/b", "there", others);
    // The first renewal afterwards reports the new era, so it may still touch
    // the other lease.
    run(700ms);
    store.touched.clear();
    run(1000ms);
    CHECK(made.IsListed() && made.ValidUntil() > store.now);
    CHECK(store.items["vm/a"].lease != store.items["vm/b"].lease);
    if (endsThere) {
      made.Revoke();
      CHECK(store.items.contains("vm/b"));
    }
    CHECK(!store.touched.contains(others));
  }
}
