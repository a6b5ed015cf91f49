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
struct registered_vm
{
  registered_vm()
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

  [[nodiscard]] bool IsRegistered() const
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

struct fault_row
{
  const char* name;
  std::function<void(registered_vm&)> given;
};

const fault_row kRows[] = {
  { "none", [](registered_vm&) {} },
  { "the key of a previous process exists",
    [](registered_vm& aVm) { aVm.store.Put("vm/a", "before", 99); } },
  { "the lease ended unnoticed",
    [](registered_vm& aVm) { aVm.store.EndLease(aVm.store.lastLease); } },
  { "the key was removed, the lease was not",
    [](registered_vm& aVm) { aVm.store.Remove("vm/a"); } },
  { "an outage longer than the lease",
    [](registered_vm& aVm) {
      aVm.store.failing = store::errc::kUnavailable;
      aVm.Run(5000ms);
      CHECK(aVm.registration.ValidUntil() < aVm.store.now);
      aVm.store.EndLease(aVm.store.lastLease);
      aVm.store.failing = {};
    } },
  { "writes with unknown outcome",
    [](registered_vm& aVm) {
      aVm.store.commitOutcome = store::commit_outcome::kUnknown;
      aVm.store.Remove("vm/a");
      aVm.Run(1000ms);
      aVm.store.commitOutcome = store::commit_outcome::kApplied;
    } },
  { "a write that was applied but its response lost",
    [](registered_vm& aVm) {
      aVm.store.losesResponses = true;
      aVm.store.EndLease(aVm.store.lastLease);
      aVm.Run(4000ms);
      aVm.store.losesResponses = false;
    } },
};

} // namespace

TEST_GROUP(registration){};

TEST(registration, is_written_again_after_each_fault)
{
  for (const auto& row : kRows) {
    registered_vm made;
    made.Run(500ms);
    CHECK_TEXT(made.IsRegistered(), row.name);
    row.given(made);
    made.Run(4000ms);
    CHECK_TEXT(made.IsRegistered(), row.name);
  }
}

TEST(registration, reports_that_the_store_has_recovered)
{
  registered_vm made;
  int recovered = 0;
  made.registration.OnRecovered([&recovered] { ++recovered; });
  made.Run(2500ms);
  CHECK_EQUAL(0, recovered);
  made.store.failing = store::errc::kTimeout;
  made.Run(2500ms);
  made.store.failing = {};
  made.Run(2500ms);
  CHECK_EQUAL(1, recovered);
}

TEST(registration, ends_with_its_lease)
{
  registered_vm made;
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
  for (const bool isRevoked : { false, true }) {
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
    if (isRevoked) {
      made.Revoke();
      CHECK(store.items.contains("vm/b"));
    }
    CHECK(!store.touched.contains(others));
  }
}
