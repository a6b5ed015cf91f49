// Guards against a fleet that stalls after the store has been restored from a
// snapshot some seconds old. The store issued revisions a second time, so each
// VM took what it read for a state older than the known one, discarded it, and
// immediately requested changes after a revision that the store did not have.
// No VM applied a newer configuration for 12 s, until the store's revisions
// exceeded the known one. Meanwhile each VM called the store 6 to 14 times per
// second.
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/store/era_guard.hpp"
#include "currantshed/store/prefix_view.hpp"
#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

// Time within which an acknowledged change must be applied.
constexpr auto kApplyBound = 3000ms;
// Maximum number of reads in that time.
constexpr int kMaxReads = 3;
// The same for a store that reports no era, whose reads are discarded: two per
// second.
constexpr int kMaxReadsWithoutEra = 6;

std::string
Print(const store::prefix_view& aView)
{
  std::string text;
  for (const auto& [key, item] : aView.Items()) {
    text += key + "=" + item.value + " ";
  }
  return text;
}

/// Interval between renewals of a VM's lease.
constexpr auto kRenewal = 650ms;

/// A VM that watches the store, and another one to which it forwards the
/// changes.
struct two_vms
{
  two_vms()
  {
    store.era = 1;
    store.Put("a/1", "one");
    store.Put("a/2", "two");
    forwarded.ForwardedUntil(store.now + 1h);
    Run(100ms);
    store.TakeSnapshot();
    for (const auto* value : { "uno", "ein", "un" }) {
      store.Put("a/1", value);
    }
    store.Put("a/3", "three");
    store.Remove("a/2");
    Run(800ms);
    store.ranges = 0;
  }

  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      if (store.now >= nextRenewal) {
        guard.KeepAlive({ guard.Era().value_or(0), 1 },
                        [](std::error_code, store::response_info) {});
        nextRenewal = store.now + kRenewal;
      }
      forwarder.Tick(store.now, 0.5);
      store.Answer();
      for (const auto& call : std::exchange(posted, {})) {
        call();
      }
      if (forwarded.ApplyUpdate(forwarder.UpdateSince(forwarded.Seen()),
                                store.now)) {
        forwarded.ForwardedUntil(store.now + 2s);
      }
    }
  }

  test::fake_key_value store;
  store::prefix_view::listener listener{ [](clock::time_point) {},
                                         [](bool, std::error_code) {} };
  clock::time_point nextRenewal{};
  std::vector<std::function<void()>> posted;
  store::era_guard guard{ store,
                          { [this](std::function<void()> aCall) {
                             posted.push_back(std::move(aCall));
                           },
                            [this](std::optional<store::era_id>,
                                   store::era_id) {
                              forwarder.OnEraChanged(store.now);
                            } } };
  store::prefix_view forwarder{ guard, "a/", {}, listener };
  store::prefix_view forwarded{ guard, "a/", {}, listener };
};

struct restore_row
{
  const char* name;
  std::function<void(two_vms&)> given;
  std::string keys;
};

const restore_row kRows[] = {
  { "nothing is written afterwards",
    [](two_vms& aVms) { aVms.store.RestoreSnapshot(); },
    "a/1=one a/2=two " },
  { "a key is written at a revision below the known one",
    [](two_vms& aVms) {
      aVms.store.RestoreSnapshot();
      aVms.Run(200ms);
      aVms.store.Put("a/1", "trois");
    },
    "a/1=trois a/2=two " },
  { "keys are written before the VM's next call, beyond the known revision",
    [](two_vms& aVms) {
      aVms.store.RestoreSnapshot();
      for (int i = 0; i < 9; ++i) {
        aVms.store.Put("a/4", std::to_string(i));
      }
    },
    "a/1=one a/2=two a/4=8 " },
  { "it is restored twice",
    [](two_vms& aVms) {
      aVms.store.RestoreSnapshot();
      aVms.Run(200ms);
      aVms.store.Put("a/1", "trois");
      aVms.Run(200ms);
      aVms.store.RestoreSnapshot();
      aVms.store.Put("a/2", "deux");
    },
    "a/1=one a/2=deux " },
  { "it does not respond at first",
    [](two_vms& aVms) {
      aVms.store.RestoreSnapshot();
      aVms.store.failing = store::errc::kTimeout;
      aVms.Run(1000ms);
      aVms.store.failing = {};
      aVms.store.Put("a/1", "trois");
    },
    "a/1=trois a/2=two " },
};

} // namespace

TEST_GROUP(restored_store){};

TEST(restored_store, is_followed_from_its_new_revisions)
{
  for (const auto& row : kRows) {
    two_vms made;
    row.given(made);
    made.Run(kApplyBound);
    STRCMP_EQUAL_TEXT(
      row.keys.c_str(), Print(made.forwarder).c_str(), row.name);
    STRCMP_EQUAL_TEXT(
      row.keys.c_str(), Print(made.forwarded).c_str(), row.name);
  }
}

// A store that reports no era cannot be distinguished from one that lags
// behind. Its reads are discarded until its revisions exceed the known one, at
// a bounded call rate.
TEST(restored_store, is_not_called_in_a_loop_if_it_reports_no_era)
{
  test::fake_key_value storeWithoutEra;
  storeWithoutEra.Put("a/1", "one");
  storeWithoutEra.TakeSnapshot();
  storeWithoutEra.Put("a/1", "uno");
  store::prefix_view view(
    storeWithoutEra,
    "a/",
    {},
    { [](clock::time_point) {}, [](bool, std::error_code) {} });
  const auto run = [&](std::chrono::milliseconds aSpan) {
    for (const auto end = storeWithoutEra.now + aSpan;
         storeWithoutEra.now < end;
         storeWithoutEra.now += 10ms) {
      view.Tick(storeWithoutEra.now, 0.5);
      storeWithoutEra.Answer();
    }
  };
  run(100ms);
  storeWithoutEra.RestoreSnapshot();
  storeWithoutEra.ranges = 0;
  run(kApplyBound);
  CHECK(storeWithoutEra.ranges <= kMaxReadsWithoutEra);
  STRCMP_EQUAL("a/1=uno ", Print(view).c_str());
  storeWithoutEra.Put("a/1", "due");
  storeWithoutEra.Put("a/1", "zwei");
  run(kApplyBound);
  STRCMP_EQUAL("a/1=zwei ", Print(view).c_str());
}

TEST(restored_store, is_not_called_in_a_loop)
{
  for (const auto& row : kRows) {
    two_vms made;
    row.given(made);
    made.store.ranges = 0;
    made.Run(kApplyBound);
    CHECK_TEXT(made.store.ranges <= kMaxReads, row.name);
  }
}
