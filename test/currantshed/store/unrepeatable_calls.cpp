#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include "currantshed/store/prefix_view.hpp"

#include "test/currantshed/store/slow_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

// Within this time a change must be in force.
constexpr std::chrono::milliseconds kBound{ 5000 };
// What the view may transfer for any number of versions in quick succession:
// the first one, the newest one, and one that is on its way when the newest is
// written.
constexpr std::size_t kMaxTransfers = 3;
// Small values may all be transferred, up to 0.3 s of the link.
constexpr std::size_t kFreeBytes = std::size_t{ 256 } * 1024;
// One call for each of them, one for each pause in between that finds too much,
// the first read, and the watch that is left waiting.
constexpr int kMaxCalls = 8;

struct storm_row
{
  const char* name;
  std::size_t bytes;
  int versions;
  std::chrono::milliseconds gap;
  test::watch_fault fault = test::watch_fault::kNone;
};

constexpr storm_row kStorms[] = {
  { "one version", 420'000, 1, 60ms },
  { "versions too large for one answer", 420'000, 25, 60ms },
  { "ten times as many", 420'000, 250, 6ms },
  { "versions of the largest size", 1'040'000, 25, 60ms },
  { "ten times as many of the largest size", 1'040'000, 250, 6ms },
  { "small versions", 2'000, 25, 60ms },
  { "answers that break off", 420'000, 25, 60ms, test::watch_fault::kCut },
  { "answers that break off, one version",
    420'000,
    1,
    60ms,
    test::watch_fault::kCut },
  { "malformed answers", 420'000, 25, 60ms, test::watch_fault::kMalformed },
  { "a history that is gone",
    420'000,
    25,
    60ms,
    test::watch_fault::kHistoryGone },
  { "an era change in between",
    420'000,
    25,
    60ms,
    test::watch_fault::kEraChange },
};

} // namespace

TEST_GROUP(unrepeatable_calls){};

// The read that replaces a call waited for whatever woke its VM next, which in
// a large fleet took up to two seconds.
TEST(unrepeatable_calls, are_replaced_at_once)
{
  for (const auto fault :
       { test::watch_fault::kNone, test::watch_fault::kHistoryGone }) {
    test::slow_store store;
    int due = 0;
    auto reason = store::call_reason::kContinued;
    store::prefix_view view(store,
                            "a/",
                            { .skipsVersions = true },
                            { [](clock::time_point) {},
                              [](bool, std::error_code) {},
                              {},
                              [&reason](auto aWhy) { reason = aWhy; },
                              [&due] { ++due; } });
    store.Put("x");
    for (int step = 0; step < 2; ++step) {
      view.Tick(store.now, 0.5);
      store.Answer();
    }
    LONGS_EQUAL(0, due);
    store.fault = fault;
    store.Put(std::string(1'000'000, 'y'));
    store.Answer();
    LONGS_EQUAL(1, due);
    CHECK(view.NextTick() <= store.now);
    view.Tick(store.now, 0.5);
    CHECK(reason == store::call_reason::kChangesUnavailable);
  }
}

// A watch whose answer could not come, since it held more versions than fit,
// was repeated unchanged: every VM went on with an old configuration until the
// store had dropped its history.
TEST(unrepeatable_calls, are_replaced_by_a_read_of_the_newest_version)
{
  for (const auto& row : kStorms) {
    test::slow_view made(kBound);
    made.store.Put(std::string(row.bytes, 'x'));
    made.Run(5s);
    made.store.fault = row.fault;
    made.store.calls = 0;
    made.store.bytes = 0;
    for (int written = 0; written < row.versions; ++written) {
      made.store.Put(std::string(row.bytes, 'y'));
      made.Run(row.gap);
    }
    made.Run(kBound - row.gap);
    CHECK_TEXT(made.view.Seen() == made.store.Newest(), row.name);
    CHECK_TEXT(made.store.calls <= kMaxCalls,
               (row.name + (": " + std::to_string(made.store.calls))).c_str());
    CHECK_TEXT(made.store.bytes <=
                 std::max(kFreeBytes, kMaxTransfers * row.bytes),
               (row.name + (": " + std::to_string(made.store.bytes))).c_str());
  }
}
