#include "currantshed/store/prefix_view.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A read that was discarded.
struct discarded_read
{
  store::revision read;
  store::revision seen;
};

/// A view of the keys below "a/", and the store that it follows.
struct follower
{
  follower()
    : view(store,
           "a/",
           {},
           { [this](clock::time_point) { ++changes; },
             [this](bool aIsReachable, std::error_code) {
               isReachable = aIsReachable;
             },
             [this](store::revision aRead, store::revision aSeen) {
               discarded.push_back({ aRead, aSeen });
             } })
  {
    store.Put("a/1", "one");
    store.Put("b/1", "other");
  }

  void Run(std::chrono::milliseconds aSpan)
  {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      view.Tick(store.now, 0.5);
      store.Answer();
    }
  }

  test::fake_key_value store;
  store::prefix_view view;
  int changes = 0;
  bool isReachable = false;
  std::vector<discarded_read> discarded;
};

struct change_row
{
  const char* name;
  std::function<void(follower&)> given;
  /// The expected keys at the end.
  std::string keys;
  /// Whether the last change may have been made long before it was seen.
  bool mayBeStale = false;
};

const change_row kRows[] = {
  { "nothing", [](follower&) {}, "a/1=one ", true },
  { "a new key",
    [](follower& aFollower) { aFollower.store.Put("a/2", "two"); },
    "a/1=one a/2=two " },
  { "a key overwritten",
    [](follower& aFollower) { aFollower.store.Put("a/1", "uno"); },
    "a/1=uno " },
  { "a key removed",
    [](follower& aFollower) { aFollower.store.Remove("a/1"); },
    "" },
  { "changes after the watch failed",
    [](follower& aFollower) {
      aFollower.store.FailWatches(store::errc::kTimeout);
      aFollower.store.Put("a/2", "two");
    },
    "a/1=one a/2=two ",
    true },
  { "changes that the store dropped from its history",
    [](follower& aFollower) {
      aFollower.store.Put("a/2", "two");
      aFollower.store.Remove("a/1");
      aFollower.store.history.clear();
      aFollower.store.FailWatches(store::errc::kHistoryCompacted);
    },
    "a/2=two ",
    true },
  { "an outage with changes",
    [](follower& aFollower) {
      aFollower.store.failing = store::errc::kUnavailable;
      aFollower.store.FailWatches(store::errc::kUnavailable);
      aFollower.Run(500ms);
      aFollower.store.Put("a/2", "two");
      aFollower.store.failing = {};
    },
    "a/1=one a/2=two ",
    true },
};

std::string
Print(const store::prefix_view& aView)
{
  std::string text;
  for (const auto& [key, item] : aView.Items()) {
    text += key + "=" + item.value + " ";
  }
  return text;
}

} // namespace

TEST_GROUP(prefix_view){};

TEST(prefix_view, follows_the_store)
{
  for (const auto& row : kRows) {
    follower made;
    made.Run(100ms);
    CHECK_TEXT(made.view.IsKnown() && made.isReachable, row.name);
    row.given(made);
    made.Run(3000ms);
    CHECK_TEXT(Print(made.view) == row.keys, row.name);
    CHECK_TEXT(made.isReachable, row.name);
    CHECK_EQUAL_TEXT(row.mayBeStale, made.view.MayBeStale(), row.name);
  }
}

TEST(prefix_view, is_read_again_when_the_store_is_back)
{
  follower made;
  made.Run(100ms);
  made.store.Put("a/2", "two");
  made.store.history.clear();
  made.Run(1000ms);
  made.view.Refresh(made.store.now);
  made.Run(1000ms);
  CHECK(Print(made.view) == "a/1=one a/2=two ");
}

TEST(prefix_view, is_read_at_once_when_the_store_is_back)
{
  follower made;
  made.Run(100ms);
  made.store.failing = store::errc::kUnavailable;
  made.store.FailWatches(store::errc::kUnavailable);
  made.Run(6000ms);
  CHECK_FALSE(made.isReachable);
  made.store.failing = {};
  made.store.Put("a/2", "two");
  made.view.Refresh(made.store.now);
  made.Run(30ms);
  CHECK(made.isReachable);
  CHECK(Print(made.view) == "a/1=one a/2=two ");
}

TEST(prefix_view, a_hung_watch_is_cancelled_after_an_announcement)
{
  follower made;
  made.Run(100ms);
  const auto ranges = made.store.ranges;
  // The watch does not deliver this change.
  made.store.Put("a/2", "two");
  made.store.history.clear();
  const auto change = made.store.At();
  made.Run(1000ms);
  CHECK(Print(made.view) == "a/1=one ");
  made.view.NotifyRevision(change, made.store.now);
  // An announcement by a VM that lags behind does not reset the wait.
  made.view.NotifyRevision({ 0, 1 }, made.store.now);
  made.Run(500ms);
  made.view.NotifyRevision(change, made.store.now);
  made.Run(1000ms);
  CHECK(Print(made.view) == "a/1=one a/2=two ");
  CHECK_EQUAL(ranges + 1, made.store.ranges);
}

namespace {

struct pause_row
{
  const char* name;
  std::size_t bytes;
  std::chrono::nanoseconds timePerByte;
  /// Maximum number of changes reported within 3 s while the key is written
  /// every 50 ms.
  std::size_t atMost;
  std::size_t atLeast;
};

const pause_row kPauses[] = {
  { "small keys, a fast link", 100, 10ns, 16, 12 },
  { "large keys, a fast link", 260000, 10ns, 16, 12 },
  { "large keys, a slow link", 260000, 1000ns, 3, 2 },
};

} // namespace

TEST(prefix_view, changes_in_quick_succession_leave_the_link_free)
{
  for (const auto& row : kPauses) {
    test::fake_key_value store;
    std::size_t changes = 0;
    store::prefix_view view(
      store,
      "a/",
      { .pauseAfterChange = 200ms,
        .pausePerKey = 0ms,
        .timePerByte = row.timePerByte },
      { [&](clock::time_point) { ++changes; }, [](bool, std::error_code) {} });
    store.Put("a/1", std::string(row.bytes, 'x'));
    for (int step = 0; step < 300; ++step) {
      if (step % 5 == 0) {
        store.Put("a/1", std::string(row.bytes, 'x'));
      }
      view.Tick(store.now, 0.5);
      store.Answer();
      store.now += 10ms;
    }
    CHECK_TEXT(changes >= row.atLeast && changes <= row.atMost,
               (row.name + (": " + std::to_string(changes))).c_str());
  }
}

TEST(prefix_view, the_pause_does_not_grow_for_ever_with_the_keys)
{
  test::fake_key_value store;
  clock::time_point changedAt{};
  store::prefix_view view(
    store,
    "a/",
    { .pauseAfterChange = 100ms, .pausePerKey = 40ms, .maxPauseByKeys = 500ms },
    { [&](clock::time_point aNow) { changedAt = aNow; },
      [](bool, std::error_code) {} });
  for (int key = 0; key < 100; ++key) {
    store.Put("a/" + std::to_string(key), "one");
  }
  for (int step = 0; step < 200; ++step) {
    store.Put("a/1", std::to_string(step));
    view.Tick(store.now, 0.5);
    store.Answer();
    store.now += 10ms;
  }
  CHECK(store.now - changedAt <= 510ms);
}

TEST(prefix_view, a_watch_is_given_its_time_after_another_has_seen_a_change)
{
  test::fake_key_value store;
  store::prefix_view view(
    store,
    "a/",
    { .pauseAfterChange = 600ms, .pausePerKey = 0ms },
    { [](clock::time_point) {}, [](bool, std::error_code) {} });
  store.Put("a/1", "one");
  const auto pass = [&](std::chrono::milliseconds aSpan) {
    for (const auto end = store.now + aSpan; store.now < end;
         store.now += 10ms) {
      view.NotifyRevision(store.At(), store.now);
      view.Tick(store.now, 0.5);
      // The response is still in transit when other VMs announce the revision.
      view.NotifyRevision(store.At(), store.now);
      store.Answer();
    }
  };
  pass(100ms);
  store.Put("a/1", "two");
  pass(50ms);
  const auto ranges = store.ranges;
  store.Put("a/1", "three");
  pass(1000ms);
  CHECK(Print(view) == "a/1=three ");
  CHECK_EQUAL(ranges, store.ranges);
}

TEST(prefix_view, reports_a_discarded_read_once)
{
  follower made;
  made.store.SetEra(7);
  made.Run(100ms);
  const auto before = made.store.At();
  made.store.Put("b/2", "other");
  // While the read is in progress, another VM sends a later change.
  made.view.Refresh(made.store.now);
  made.view.Tick(made.store.now, 0.5);
  const auto read = made.store.At();
  made.view.ApplyUpdate({ false, before, { 7, read.number + 5 }, false, {} },
                        made.store.now);
  made.Run(100ms);
  LONGS_EQUAL(1, made.discarded.size());
  CHECK(made.discarded.front().read == read);
  const store::revision passedOn{ 7, read.number + 5 };
  CHECK(made.discarded.front().seen == passedOn);
}
