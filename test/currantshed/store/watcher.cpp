#include "currantshed/store/watcher.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::clock::time_point;
using currantshed::store::deliver_entry;
using currantshed::store::entry;
using currantshed::store::errc;
using currantshed::store::start_watch;
using currantshed::store::watcher;
using currantshed::store::watcher_settings;

namespace {

constexpr time_point kStart{ 1h };
constexpr auto kMinDelay = 200ms;
constexpr auto kMaxDelay = 1600ms;
constexpr auto kPause = 1000ms;
constexpr double kLowest = 0.0;
constexpr double kHalf = 0.5;
constexpr double kHighest = 0.999;

watcher_settings
Settings()
{
  return { 10s, kPause, { kMinDelay, kMaxDelay } };
}

/// The result of one call, and the expected reaction.
struct call_step
{
  std::error_code error;
  std::uint64_t version;
  /// Time since the start of the call.
  std::chrono::milliseconds after;
  double random;
  /// Whether the entry is delivered.
  bool delivered;
  /// Time from this response to the start of the next call.
  std::chrono::milliseconds wait;
  /// The version that the next call refers to.
  std::uint64_t known;
};

struct watcher_row
{
  const char* name;
  std::vector<call_step> steps;
};

const watcher_row kRows[] = {
  { "a change is delivered, and the next watch starts immediately",
    { { {}, 7, 5s, kHalf, true, 0ms, 7 },
      { {}, 9, 1ms, kHalf, true, 0ms, 9 } } },
  { "an absent key is delivered once",
    { { {}, 0, 0ms, kLowest, true, 0ms, 0 },
      { {}, 0, 10s, kLowest, false, 0ms, 0 },
      { {}, 4, 1s, kLowest, true, 0ms, 4 } } },
  { "the wait ends without a change",
    { { {}, 7, 1s, kHalf, true, 0ms, 7 },
      { {}, 7, 10s, kHalf, false, 0ms, 7 } } },
  { "a wait that ends immediately is followed by a pause",
    { { {}, 7, 0ms, kLowest, true, 0ms, 7 },
      { {}, 7, 0ms, kLowest, false, kPause, 7 },
      { {}, 7, 400ms, kHalf, false, 1100ms, 7 } } },
  { "an older version is not delivered",
    { { {}, 7, 0ms, kHalf, true, 0ms, 7 },
      { {}, 3, 5s, kHalf, false, 0ms, 3 },
      { {}, 6, 5s, kHalf, false, 0ms, 6 },
      { {}, 8, 5s, kHalf, true, 0ms, 8 } } },
  { "the removal of the key is not delivered",
    { { {}, 7, 0ms, kHalf, true, 0ms, 7 },
      { {}, 0, 5s, kHalf, false, 0ms, 0 },
      { {}, 9, 5s, kHalf, true, 0ms, 9 } } },
  { "the backoff doubles up to its bound",
    { { errc::kUnreachable, 0, 0ms, kLowest, false, kMinDelay, 0 },
      { errc::kUnreachable, 0, 0ms, kHalf, false, 500ms, 0 },
      { errc::kTimeout, 0, 0ms, kHalf, false, 900ms, 0 },
      { errc::kUnavailable, 0, 0ms, kHalf, false, 900ms, 0 },
      { errc::kRateLimited, 0, 0ms, kHalf, false, 900ms, 0 },
      { errc::kMalformed, 0, 0ms, kLowest, false, kMinDelay, 0 } } },
  { "a response resets the backoff; a failure keeps the known version",
    { { {}, 7, 0ms, kHalf, true, 0ms, 7 },
      { errc::kUnreachable, 0, 0ms, kHalf, false, 300ms, 7 },
      { errc::kUnreachable, 0, 0ms, kHalf, false, 500ms, 7 },
      { {}, 8, 0ms, kHalf, true, 0ms, 8 },
      { errc::kUnreachable, 0, 0ms, kHalf, false, 300ms, 8 } } },
};

/// Returns the start among the actions, if any, and counts the starts: more
/// than one is an error.
std::optional<start_watch>
TakeStart(watcher& aSubject, std::vector<entry>& aDelivered, int& aStarts)
{
  std::optional<start_watch> started;
  for (const auto& action : aSubject.TakeActions()) {
    if (const auto* start = std::get_if<start_watch>(&action)) {
      started = *start;
      ++aStarts;
    } else {
      aDelivered.push_back(std::get<deliver_entry>(action).content);
    }
  }
  return started;
}

} // namespace

TEST_GROUP(watcher){};

TEST(watcher, begins_at_once_knowing_nothing)
{
  watcher subject(Settings(), kStart);
  const auto actions = subject.TakeActions();
  LONGS_EQUAL(1, actions.size());
  CHECK(std::get<start_watch>(actions[0]).known == 0);
  CHECK(std::get<start_watch>(actions[0]).maxWait == 10s);
  CHECK_FALSE(subject.NextTick().has_value());
  CHECK_FALSE(subject.LastAnswer().has_value());
}

TEST(watcher, rows)
{
  for (const auto& row : kRows) {
    auto now = kStart;
    watcher subject(Settings(), now);
    std::vector<entry> delivered;
    int starts = 0;
    CHECK_TEXT(TakeStart(subject, delivered, starts), row.name);
    for (const auto& step : row.steps) {
      now += step.after;
      delivered.clear();
      starts = 0;
      subject.Ended(step.error, entry{ "v", step.version }, now, step.random);
      auto started = TakeStart(subject, delivered, starts);
      LONGS_EQUAL_TEXT(step.delivered ? 1 : 0, delivered.size(), row.name);
      CHECK_TEXT(started.has_value() == (step.wait == 0ms), row.name);
      if (!started) {
        CHECK_TEXT(*subject.NextTick() == now + step.wait, row.name);
        subject.Tick(now + step.wait - 1ms);
        CHECK_FALSE_TEXT(TakeStart(subject, delivered, starts), row.name);
        now += step.wait;
        subject.Tick(now);
        started = TakeStart(subject, delivered, starts);
      }
      LONGS_EQUAL_TEXT(1, starts, row.name);
      CHECK_TEXT(started->known == step.known, row.name);
      CHECK_FALSE_TEXT(subject.NextTick().has_value(), row.name);
      subject.Tick(now + 1h);
      CHECK_TEXT(subject.TakeActions().empty(), row.name);
    }
  }
}

TEST(watcher, tells_when_the_platform_last_answered)
{
  watcher subject(Settings(), kStart);
  subject.Ended({}, entry{ "v", 7 }, kStart + 1s, kHalf);
  subject.Ended(errc::kTimeout, {}, kStart + 9s, kHalf);
  CHECK(*subject.LastAnswer() == kStart + 1s);
}

/// After a long outage, the callers' retries are spread evenly over the range
/// of the backoff.
TEST(watcher, callers_come_back_spread)
{
  constexpr int kCallers = 100;
  std::vector<int> perTenth(10, 0);
  for (int caller = 0; caller < kCallers; ++caller) {
    watcher subject(Settings(), kStart);
    auto now = kStart;
    for (int failure = 0; failure < 8; ++failure) {
      subject.Ended(errc::kUnreachable, {}, now, kHighest);
      now = *subject.NextTick();
      subject.Tick(now);
    }
    subject.Ended(errc::kUnreachable, {}, now, (caller + kHalf) / kCallers);
    const auto wait = *subject.NextTick() - now - kMinDelay;
    ++perTenth.at(
      static_cast<std::size_t>(10 * wait / (kMaxDelay - kMinDelay)));
  }
  for (const auto callers : perTenth) {
    LONGS_EQUAL(kCallers / 10, callers);
  }
}
