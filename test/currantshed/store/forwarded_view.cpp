#include "currantshed/store/prefix_view.hpp"

#include <chrono>
#include <functional>
#include <string>

#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A view of the keys below "a/".
struct one_view
{
  explicit one_view(test::fake_key_value& aStore)
    : view(aStore,
           "a/",
           {},
           { [this](clock::time_point) { ++changes; },
             [](bool, std::error_code) {} })
  {
  }

  [[nodiscard]] std::string Keys() const
  {
    std::string text;
    for (const auto& [key, item] : view.Items()) {
      text += key + "=" + item.value + " ";
    }
    return text;
  }

  store::prefix_view view;
  int changes = 0;
};

/// A VM that watches the store, and another one to which it forwards the
/// changes.
struct vm_pair
{
  vm_pair()
  {
    store.Put("a/1", "one");
    store.Put("a/2", "two");
  }

  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      forwarder.view.Tick(store.now, 0.5);
      forwarded.view.Tick(store.now, 0.5);
      store.Answer();
    }
  }

  /// Sends the other VM the changes that it lacks.
  bool Forward(std::chrono::milliseconds aFor = 2000ms)
  {
    const bool taken = forwarded.view.ApplyUpdate(
      forwarder.view.UpdateSince(forwarded.view.Seen()), store.now);
    if (taken) {
      forwarded.view.ForwardedUntil(store.now + aFor);
    }
    return taken;
  }

  /// Both read the keys; from now on only the first one watches the store.
  void Begin()
  {
    forwarded.view.ForwardedUntil(store.now + 1h);
    Run(100ms);
    forwarded.view.ForwardedUntil(store.now);
    CHECK(Forward());
  }

  /// Both watch the store. The watch of the second one is the older, since the
  /// store cancels the oldest watch of a prefix.
  void BeginWithBothWatching()
  {
    for (int i = 0; i < 2; ++i) {
      forwarded.view.Tick(store.now, 0.5);
      store.Answer();
    }
    Run(100ms);
    CHECK_EQUAL(2U, store.watches.size());
  }

  test::fake_key_value store;
  one_view forwarder{ store };
  one_view forwarded{ store };
};

struct forwarding_row
{
  const char* name;
  std::function<void(vm_pair&)> given;
  std::string keys;
  bool mayBeStale = false;
};

const forwarding_row kRows[] = {
  { "nothing new", [](vm_pair&) {}, "a/1=one a/2=two ", true },
  { "a new key",
    [](vm_pair& aPair) { aPair.store.Put("a/3", "three"); },
    "a/1=one a/2=two a/3=three " },
  { "a key overwritten repeatedly",
    [](vm_pair& aPair) {
      aPair.store.Put("a/1", "uno");
      aPair.store.Put("a/1", "ein");
    },
    "a/1=ein a/2=two " },
  { "a key removed",
    [](vm_pair& aPair) { aPair.store.Remove("a/1"); },
    "a/2=two " },
  { "a key removed and written again",
    [](vm_pair& aPair) {
      aPair.store.Remove("a/1");
      aPair.store.Put("a/1", "uno");
    },
    "a/1=uno a/2=two " },
  { "more removals than are retained",
    [](vm_pair& aPair) {
      for (int i = 0; i < 1200; ++i) {
        const auto key = "a/x" + std::to_string(i);
        aPair.store.Put(key, "x");
        aPair.store.Remove(key);
      }
      aPair.store.Remove("a/2");
    },
    "a/1=one ",
    true },
  { "the forwarder has read all keys again",
    [](vm_pair& aPair) {
      aPair.store.Remove("a/1");
      aPair.store.history.clear();
      aPair.store.FailWatches(store::errc::kHistoryCompacted);
    },
    "a/2=two ",
    true },
  { "the forwarder's watch had failed",
    [](vm_pair& aPair) {
      aPair.store.FailWatches(store::errc::kTimeout);
      aPair.store.Put("a/1", "uno");
    },
    "a/1=uno a/2=two ",
    true },
};

} // namespace

TEST_GROUP(forwarded_view){};

TEST(forwarded_view, applies_forwarded_changes)
{
  for (const auto& row : kRows) {
    vm_pair made;
    made.Begin();
    row.given(made);
    made.Run(800ms);
    CHECK_TEXT(made.Forward(), row.name);
    STRCMP_EQUAL_TEXT(
      row.keys.c_str(), made.forwarded.Keys().c_str(), row.name);
    CHECK_TEXT(made.forwarder.view.Seen() == made.forwarded.view.Seen(),
               row.name);
    CHECK_EQUAL_TEXT(
      row.mayBeStale, made.forwarded.view.MayBeStale(), row.name);
  }
}

TEST(forwarded_view, begins_no_watch_while_changes_are_forwarded)
{
  vm_pair made;
  made.Begin();
  made.Run(1500ms);
  CHECK_EQUAL(1U, made.store.watches.size());
  made.Forward();
  made.Run(1500ms);
  CHECK_EQUAL(1U, made.store.watches.size());
}

TEST(forwarded_view, follows_the_store_itself_once_nobody_forwards_changes)
{
  vm_pair made;
  made.Begin();
  made.store.Put("a/1", "uno");
  made.Run(1900ms);
  STRCMP_EQUAL("a/1=one a/2=two ", made.forwarded.Keys().c_str());
  made.Run(200ms);
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
}

TEST(forwarded_view, follows_the_store_itself_when_others_know_more)
{
  vm_pair made;
  made.Begin();
  made.forwarded.view.ForwardedUntil(made.store.now + 1h);
  made.store.Put("a/1", "uno");
  for (int i = 0; i < 120; ++i) {
    made.forwarded.view.NotifyRevision(made.store.At(), made.store.now);
    made.Run(10ms);
  }
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
}

// A watch that outlives its use makes the store send every change to all VMs.
TEST(forwarded_view, ends_its_own_watch_once_changes_are_forwarded)
{
  vm_pair made;
  made.BeginWithBothWatching();
  for (int i = 0; i < 8; ++i) {
    CHECK(made.Forward());
    made.Run(400ms);
  }
  CHECK_EQUAL(1U, made.store.watches.size());
  CHECK(made.forwarded.view.IsReached());
  made.store.Put("a/1", "uno");
  made.Run(2200ms);
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
  CHECK_EQUAL(2U, made.store.watches.size());
}

// A slow read that was taken for the watch would hide the next failure of one.
TEST(forwarded_view, a_read_is_not_cancelled_in_place_of_a_watch)
{
  test::fake_key_value store;
  bool isReachable = false;
  store::prefix_view view(
    store,
    "a/",
    {},
    { [](clock::time_point) {},
      [&](bool aIsReached, std::error_code) { isReachable = aIsReached; } });
  store.Put("a/1", "one");
  view.Tick(store.now, 0.5);
  CHECK(view.ApplyUpdate(
    { true, {}, store.At(), false, { { store.items["a/1"], false } } },
    store.now));
  view.ForwardedUntil(store.now + 3000ms);
  for (int i = 0; i < 30; ++i) {
    view.Tick(store.now, 0.5);
    store.now += 100ms;
  }
  store.Answer();
  CHECK(isReachable);
  view.Tick(store.now, 0.5);
  CHECK_EQUAL(1U, store.watches.size());
  store.FailWatches(store::errc::kTimeout);
  CHECK_FALSE(isReachable);
}

TEST(forwarded_view, keeps_its_watch_while_the_forwarder_comes_and_goes)
{
  vm_pair made;
  made.BeginWithBothWatching();
  for (int i = 0; i < 8; ++i) {
    CHECK(made.Forward(1000ms));
    made.Run(1500ms);
  }
  CHECK_EQUAL(2U, made.store.watches.size());
}

// After an outage or a quiet time no VM can continue its watch. Where a
// forwarder sends the keys, all VMs together must not read them from the store.
TEST(forwarded_view, does_not_read_the_store_for_a_history_that_is_lost)
{
  vm_pair made;
  made.BeginWithBothWatching();
  CHECK(made.Forward());
  made.store.FailWatches(store::errc::kHistoryCompacted);
  made.store.Put("a/1", "uno");
  const auto ranges = made.store.ranges;
  made.Run(100ms);
  CHECK_EQUAL(ranges + 1, made.store.ranges);
  CHECK(made.Forward());
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
  made.Run(1900ms);
  CHECK_EQUAL(ranges + 1, made.store.ranges);
}

// All VMs regain the store at the same moment, the forwarders among them.
TEST(forwarded_view, waits_for_its_forwarder_after_an_outage)
{
  vm_pair made;
  made.BeginWithBothWatching();
  made.store.Put("a/1", "uno");
  made.store.history.clear();
  const auto ranges = made.store.ranges;
  made.forwarded.view.ForwardedUntil(made.store.now + 1000ms);
  made.forwarded.view.Refresh(made.store.now);
  made.store.FailWatches(store::errc::kHistoryCompacted);
  made.Run(900ms);
  CHECK_EQUAL(ranges + 1, made.store.ranges);
  CHECK(made.Forward());
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
  made.Run(1900ms);
  CHECK_EQUAL(ranges + 1, made.store.ranges);
}

TEST(forwarded_view, reads_the_store_after_an_outage_without_a_forwarder)
{
  vm_pair made;
  made.BeginWithBothWatching();
  made.store.Put("a/1", "uno");
  made.store.history.clear();
  made.forwarded.view.ForwardedUntil(made.store.now + 1000ms);
  made.forwarded.view.Refresh(made.store.now);
  made.Run(1100ms);
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
}

namespace {

struct lag_row
{
  const char* name;
  std::size_t bytes;
  store::prefix_view_settings settings;
  bool isForwarded;
  /// How long the view waits for a change that others have announced, at least
  /// and at most, before it calls the store in place of what it waits for.
  std::chrono::milliseconds atLeast;
  std::chrono::milliseconds atMost;
};

const lag_row kLags[] = {
  { "an own watch", 10, {}, false, 400ms, 450ms },
  { "an own watch, and a transfer of 400 ms",
    400000,
    { .timePerByte = 1000ns },
    false,
    1200ms,
    1250ms },
  { "a forwarder", 10, {}, true, 500ms, 550ms },
  { "a forwarder that may take its time",
    10,
    { .maxForwardingLag = 3000ms },
    true,
    3000ms,
    3050ms },
  { "a pause that is longer than that time",
    400000,
    { .timePerByte = 1000ns, .maxForwardingLag = 1000ms },
    true,
    1900ms,
    1950ms },
};

} // namespace

// A transfer that is given up for the store is a load on both, and the store
// has one link for all VMs.
TEST(forwarded_view, leaves_a_slow_transfer_its_time)
{
  for (const auto& row : kLags) {
    test::fake_key_value store;
    auto settings = row.settings;
    settings.pausePerKey = 0ms;
    store::prefix_view view(
      store,
      "a/",
      settings,
      { [](clock::time_point) {}, [](bool, std::error_code) {} });
    store.Put("a/1", std::string(row.bytes, 'x'));
    view.Tick(store.now, 0.5);
    store.Answer();
    if (row.isForwarded) {
      view.ForwardedUntil(store.now + 1h);
    }
    view.Tick(store.now, 0.5);
    const auto calls = [&] { return store.ranges + store.watches.size(); };
    const auto before = calls();
    const auto begin = store.now;
    while (calls() == before && store.now < begin + 10s) {
      view.NotifyRevision({ 0, store.At().number + 1 }, store.now);
      view.Tick(store.now, 0.5);
      store.now += 10ms;
    }
    const auto waited = store.now - begin;
    CHECK_TEXT(waited >= row.atLeast && waited <= row.atMost,
               (row.name + (": " + std::to_string(waited / 1ms))).c_str());
  }
}

namespace {

struct stalled_row
{
  const char* name;
  /// Whether the forwarder answers polls with what the view knows already.
  bool answers;
  /// Whether it tells of changes without sending them.
  bool announces;
};

constexpr stalled_row kStalled[] = {
  { "a forwarder whose own watch hangs", true, false },
  { "a forwarder whose transfers do not arrive", false, true },
  { "both", true, true },
};

} // namespace

// Each answer of such a forwarder counted as a sign that changes are forwarded.
TEST(forwarded_view, leaves_a_forwarder_that_answers_without_the_change)
{
  for (const auto& row : kStalled) {
    vm_pair made;
    made.Begin();
    made.store.Put("a/1", "uno");
    const auto begin = made.store.now;
    while (made.forwarded.Keys() != "a/1=uno a/2=two " &&
           made.store.now < begin + 10s) {
      made.forwarded.view.NotifyRevision(made.store.At(), made.store.now);
      if (row.answers) {
        const auto seen = made.forwarded.view.Seen();
        CHECK_TEXT(made.forwarded.view.ApplyUpdate(
                     { false, seen, seen, false, {} }, made.store.now),
                   row.name);
      }
      if (row.announces) {
        made.forwarded.view.ForwardedUntil(made.store.now + 1200ms);
      }
      made.Run(100ms);
    }
    CHECK_TEXT(made.store.now - begin <= 1000ms, row.name);
  }
}

// A large value that is overwritten in quick succession would be sent to a VM
// that is behind as often as it was written.
TEST(forwarded_view, a_view_that_lags_reads_the_newest_version_only)
{
  for (const bool skipsVersions : { false, true }) {
    test::fake_key_value store;
    store::prefix_view view(
      store,
      "a/",
      { .skipsVersions = skipsVersions },
      { [](clock::time_point) {}, [](bool, std::error_code) {} });
    store.Put("a/1", "one");
    view.Tick(store.now, 0.5);
    store.Answer();
    view.ForwardedUntil(store.now + 1h);
    for (int i = 0; i < 200; ++i) {
      store.Put("a/1", std::to_string(i));
      view.NotifyRevision(store.At(), store.now);
      store.now += 10ms;
    }
    view.Tick(store.now, 0.5);
    CHECK_EQUAL(skipsVersions ? 2 : 1, store.ranges);
    store.Answer();
    STRCMP_EQUAL("199", view.Items().at("a/1").value.c_str());
  }
}

namespace {

struct reread_row
{
  const char* name;
  std::function<void(vm_pair&)> given;
  /// Number of changes that are sent, or -1 if all keys are.
  int changes;
  std::string keys;
};

const reread_row kRereads[] = {
  { "nothing new", [](vm_pair&) {}, 0, "a/1=one a/2=two " },
  { "a key overwritten",
    [](vm_pair& aPair) { aPair.store.Put("a/1", "uno"); },
    1,
    "a/1=uno a/2=two " },
  { "a key removed and one added",
    [](vm_pair& aPair) {
      aPair.store.Remove("a/1");
      aPair.store.Put("a/3", "three");
    },
    2,
    "a/2=two a/3=three " },
  { "a key removed and written again",
    [](vm_pair& aPair) {
      aPair.store.Remove("a/1");
      aPair.store.Put("a/1", "uno");
    },
    1,
    "a/1=uno a/2=two " },
  { "all keys of another era",
    [](vm_pair& aPair) { aPair.store.SetEra(1); },
    -1,
    "a/1=one a/2=two " },
};

} // namespace

// A forwarder that read its keys again sent all of them to each subscriber.
TEST(forwarded_view, keys_read_again_are_forwarded_as_changes)
{
  for (const auto& row : kRereads) {
    vm_pair made;
    made.Begin();
    row.given(made);
    made.store.history.clear();
    made.store.FailWatches(store::errc::kHistoryCompacted);
    made.Run(100ms);
    const auto update =
      made.forwarder.view.UpdateSince(made.forwarded.view.Seen());
    CHECK_EQUAL_TEXT(row.changes < 0, update.isSnapshot, row.name);
    if (row.changes >= 0) {
      CHECK_EQUAL_TEXT(row.changes, update.changes.size(), row.name);
    }
    CHECK_TEXT(made.Forward(), row.name);
    STRCMP_EQUAL_TEXT(
      row.keys.c_str(), made.forwarded.Keys().c_str(), row.name);
  }
}

TEST(forwarded_view, never_goes_back)
{
  vm_pair made;
  made.Begin();
  const auto old = made.forwarder.view.UpdateSince({});
  auto oldChanges = made.forwarder.view.UpdateSince({ 0, 1 });
  made.store.Put("a/1", "uno");
  made.store.Remove("a/2");
  made.Run(800ms);
  CHECK(made.Forward());
  // Delayed updates are accepted as known and change nothing.
  CHECK(made.forwarded.view.ApplyUpdate(old, made.store.now));
  CHECK(made.forwarded.view.ApplyUpdate(oldChanges, made.store.now));
  STRCMP_EQUAL("a/1=uno ", made.forwarded.Keys().c_str());
  // There is nothing newer to forward.
  oldChanges = made.forwarder.view.UpdateSince(made.forwarded.view.Seen());
  CHECK(oldChanges.changes.empty());
}

// A VM that called the store later than its forwarder has the same content as
// long as nothing has changed below the prefix.
TEST(forwarded_view, accepts_changes_of_a_forwarder_whose_last_call_is_older)
{
  vm_pair made;
  made.forwarder.view.Tick(made.store.now, 0.5);
  made.store.Answer();
  made.store.Put("b/1", "elsewhere");
  made.Run(100ms);
  CHECK(made.forwarder.view.Seen() < made.forwarded.view.Seen());
  CHECK(made.Forward());
  made.store.Put("a/1", "uno");
  made.Run(800ms);
  CHECK(made.Forward());
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
}

TEST(forwarded_view, takes_no_changes_that_leave_a_gap)
{
  vm_pair made;
  made.Begin();
  const auto known = made.forwarded.view.Seen();
  made.store.Put("a/1", "uno");
  made.Run(800ms);
  const auto between = made.forwarder.view.Seen();
  made.store.Put("a/2", "due");
  made.Run(800ms);
  CHECK_FALSE(made.forwarded.view.ApplyUpdate(
    made.forwarder.view.UpdateSince(between), made.store.now));
  CHECK(known == made.forwarded.view.Seen());
  STRCMP_EQUAL("a/1=one a/2=two ", made.forwarded.Keys().c_str());
}

TEST(forwarded_view, a_read_older_than_a_forwarded_update_is_discarded)
{
  vm_pair made;
  made.Run(100ms);
  made.forwarded.view.Refresh(made.store.now);
  // The change arrives from another VM while the read is in progress.
  made.forwarded.view.Tick(made.store.now, 0.5);
  made.store.Put("a/1", "uno");
  store::key_update update{ false, { 0, 1 }, made.store.At(), false, {} };
  update.changes.push_back({ made.store.items["a/1"], false });
  const auto forwarded =
    made.forwarded.view.ApplyUpdate(update, made.store.now);
  made.Run(500ms);
  CHECK(forwarded);
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarded.Keys().c_str());
}

struct current_row
{
  const char* name;
  std::function<void(vm_pair&)> given;
  /// Expected age of the keys if another call of the VM was answered just now.
  std::chrono::milliseconds age;
};

const current_row kCurrentRows[] = {
  { "a watch waits", [](vm_pair& aPair) { aPair.Run(2000ms); }, 0ms },
  { "the watch failed",
    [](vm_pair& aPair) {
      aPair.store.failing = store::errc::kUnavailable;
      aPair.store.FailWatches(store::errc::kUnavailable);
      aPair.store.now += 700ms;
    },
    710ms },
  { "a pause after a change",
    [](vm_pair& aPair) {
      aPair.store.Put("a/3", "three");
      aPair.Run(10ms);
      aPair.store.now += 90ms;
    },
    100ms },
};

TEST(forwarded_view, tells_how_old_its_keys_may_be)
{
  for (const auto& row : kCurrentRows) {
    vm_pair made;
    made.Run(10ms);
    row.given(made);
    const auto age =
      made.store.now - made.forwarder.view.CurrentAt(made.store.now);
    CHECK_EQUAL_TEXT(
      row.age.count(),
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count(),
      row.name);
  }
}

TEST(forwarded_view, makes_no_calls_while_it_is_paused)
{
  vm_pair made;
  made.Run(100ms);
  made.store.failing = store::errc::kUnavailable;
  made.forwarder.view.SetPaused(true);
  made.store.FailWatches(store::errc::kUnavailable);
  const auto ranges = made.store.ranges;
  for (int i = 0; i < 50; ++i) {
    made.store.now += 100ms;
    made.forwarder.view.Tick(made.store.now, 0.5);
    made.store.Answer();
  }
  CHECK_EQUAL(ranges, made.store.ranges);
  CHECK(made.store.watches.empty());
  made.store.failing = {};
  made.store.Put("a/1", "uno");
  made.forwarder.view.SetPaused(false);
  made.Run(50ms);
  STRCMP_EQUAL("a/1=uno a/2=two ", made.forwarder.Keys().c_str());
}

TEST(forwarded_view, rejects_changes_of_a_forwarder_of_an_earlier_era)
{
  vm_pair made;
  made.store.SetEra(1);
  made.forwarder.view.Refresh(made.store.now);
  made.Run(100ms);
  made.Begin();
  const auto old = made.forwarder.view.UpdateSince(made.forwarded.view.Seen());
  made.store.TakeSnapshot();
  made.store.Put("a/1", "uno");
  made.store.RestoreSnapshot();
  made.forwarder.view.OnEraChanged(made.store.now);
  made.Run(1000ms);
  CHECK(made.Forward());
  STRCMP_EQUAL("a/1=one a/2=two ", made.forwarded.Keys().c_str());
  CHECK(made.forwarded.view.Seen().era == 2);
  CHECK_FALSE(made.forwarded.view.ApplyUpdate(old, made.store.now));
  CHECK(made.forwarded.view.Seen().era == 2);
}

namespace {

/// Returns how many keys are examined to compute the update for a VM that lacks
/// only the last changes, with so many keys in all.
std::uint64_t
KeysExaminedFor(std::size_t aKeys, std::size_t aChanges)
{
  test::fake_key_value store;
  one_view view(store);
  for (std::size_t i = 0; i < aKeys; ++i) {
    store.Put("a/" + std::to_string(i), "one");
  }
  const auto run = [&] {
    for (const auto end = store.now + 5s; store.now < end; store.now += 10ms) {
      view.view.Tick(store.now, 0.5);
      store.Answer();
    }
  };
  run();
  const auto known = view.view.Seen();
  for (std::size_t i = 0; i < aChanges; ++i) {
    store.Put("a/" + std::to_string(i), "two");
  }
  run();
  const auto before = view.view.KeysExamined();
  const auto update = view.view.UpdateSince(known);
  CHECK_EQUAL(aChanges, update.changes.size());
  return view.view.KeysExamined() - before;
}

} // namespace

// A forwarder is queried by a hundred other VMs several times per second each,
// so the cost of a response must depend on the number of changes, not on the
// number of keys.
TEST(forwarded_view, an_answer_costs_the_changes_not_the_keys)
{
  for (const std::size_t keys : { 50, 100, 200 }) {
    for (const std::size_t changes : { 0, 1, 5 }) {
      CHECK(KeysExaminedFor(keys, changes) <= changes);
    }
  }
}

TEST(forwarded_view, tells_its_reader_what_has_changed)
{
  vm_pair both;
  both.Begin();
  CHECK(both.forwarded.view.TakeChangedKeys().isAll);
  CHECK(both.forwarded.view.TakeChangedKeys().keys.empty());
  both.store.Put("a/1", "uno");
  both.store.Put("a/1", "ein");
  both.store.Remove("a/2");
  both.Run(1s);
  CHECK(both.Forward());
  const auto changed = both.forwarded.view.TakeChangedKeys();
  CHECK_FALSE(changed.isAll);
  CHECK(changed.keys == (std::vector<std::string>{ "a/1", "a/2" }));
}

TEST(forwarded_view, an_update_that_is_too_large_is_omitted)
{
  vm_pair both;
  both.Begin();
  const auto known = both.forwarder.view.Seen();
  both.store.Put("a/1", std::string(100, 'x'));
  both.Run(1s);
  CHECK_FALSE(both.forwarder.view.UpdateSince(known, 103).isTooLarge);
  const auto update = both.forwarder.view.UpdateSince(known, 102);
  CHECK(update.isTooLarge);
  CHECK(update.changes.empty());
  CHECK(both.forwarder.view.UpdateSince({}, 102).isTooLarge);
}
