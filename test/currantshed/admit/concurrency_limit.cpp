// Guards against statements that wait inside a server, in order of arrival,
// where no queue of this project can put the strictest class first: three
// senders with twelve connections each sent 36 statements to six slots.
#include "currantshed/admit/concurrency_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using admit::concurrency_bounds;
using admit::concurrency_limit;

namespace {

constexpr auto kStep = 500us;
constexpr clock::time_point kBegin{ 1h };
constexpr std::size_t kSenders = 3;
constexpr unsigned kConnections = 12;
// Statements that a sender has waiting in the following tests.
constexpr unsigned kNone = 0;
constexpr unsigned kLight = 1;
constexpr unsigned kAll = 100;
// Seeds, over which results are averaged.
constexpr unsigned kSeeds = 10;

struct work_kind
{
  std::chrono::microseconds mean;
  /// Of a hundred statements.
  unsigned percent;
};

struct statement
{
  std::size_t sender = 0;
  std::size_t kind = 0;
  std::chrono::microseconds left{ 0 };
  clock::time_point sentAt;
};

/// A server with some slots, which queues in order of arrival, and its senders,
/// each with a constant number of statements that wait or run. An answer and
/// the next statement take a step each.
class shared_server
{
public:
  shared_server(unsigned aSlots, std::vector<work_kind> aKinds, unsigned aSeed)
    : kinds(std::move(aKinds))
    , mSlots(aSlots)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kSenders; ++i) {
      limits.emplace_back(concurrency_bounds{ aSlots, kSenders, kConnections });
    }
  }

  void Run(std::chrono::milliseconds aDuration)
  {
    busy = 0;
    waiting = 0;
    double steps = 0;
    for (const auto end = now + aDuration; now < end; now += kStep, ++steps) {
      Send();
      while (mRunning.size() < mSlots && !mWaiting.empty()) {
        mRunning.push_back(mWaiting.front());
        mWaiting.pop_front();
      }
      busy += static_cast<double>(mRunning.size());
      waiting += static_cast<double>(mWaiting.size());
      Work();
    }
    busy /= steps;
    waiting /= steps;
  }

  [[nodiscard]] unsigned Sum() const
  {
    unsigned sum = 0;
    for (const auto& one : limits) {
      sum += one.Limit();
    }
    return sum;
  }

  std::vector<concurrency_limit> limits;
  std::vector<unsigned> wanted = std::vector<unsigned>(kSenders, kNone);
  std::vector<work_kind> kinds;
  double slowdown = 1.0;
  clock::time_point now = kBegin;
  /// Mean number of busy slots, and of statements that wait in the server,
  /// during the last run.
  double busy = 0;
  double waiting = 0;

private:
  void Send()
  {
    // No sender is always the first.
    const auto first = mRandom() % kSenders;
    for (std::size_t i = 0; i < kSenders; ++i) {
      const auto sender = (first + i) % kSenders;
      while (mInFlight[sender] < wanted[sender] &&
             mInFlight[sender] < kConnections &&
             limits[sender].Permits(mInFlight[sender], true, now)) {
        mWaiting.push_back(Make(sender));
        ++mInFlight[sender];
      }
    }
  }

  statement Make(std::size_t aSender)
  {
    auto number = mRandom() % 100;
    std::size_t kind = 0;
    while (number >= kinds[kind].percent) {
      number -= kinds[kind].percent;
      ++kind;
    }
    // Between 0.5 and 1.5 times the mean.
    const auto factor =
      slowdown * (0.5 + static_cast<double>(mRandom() % 1000) / 1000.0);
    return { aSender,
             kind,
             std::chrono::duration_cast<std::chrono::microseconds>(
               kinds[kind].mean * factor),
             now };
  }

  void Work()
  {
    std::vector<statement> answered;
    for (auto& one : mRunning) {
      one.left -= kStep;
      if (one.left <= 0us) {
        answered.push_back(one);
      }
    }
    std::erase_if(mRunning, [](const auto& aOne) { return aOne.left <= 0us; });
    for (const auto& one : answered) {
      --mInFlight[one.sender];
      limits[one.sender].Answered(
        one.kind, now + kStep - one.sentAt, mInFlight[one.sender], now);
    }
  }

  unsigned mSlots;
  std::mt19937 mRandom;
  std::vector<unsigned> mInFlight = std::vector<unsigned>(kSenders, 0);
  std::deque<statement> mWaiting;
  std::vector<statement> mRunning;
};

const std::vector<work_kind> kOneKind{ { 35ms, 100 } };
const std::vector<work_kind> kTwoKinds{ { 12ms, 60 }, { 60ms, 40 } };
const std::vector<work_kind> kMostlyLong{ { 12ms, 10 }, { 60ms, 90 } };

struct range
{
  double least = 0;
  double most = 0;

  [[nodiscard]] bool Contains(double aValue) const
  {
    return aValue >= least && aValue <= most;
  }
};

struct load_row
{
  const char* name;
  unsigned slots;
  std::vector<work_kind> kinds;
  /// Statements wanted by each sender, first and then.
  std::vector<unsigned> before;
  std::vector<unsigned> after;
  /// From the change to the measured second.
  std::chrono::milliseconds settling;
  /// Busy slots and statements that wait in the server.
  range busy;
  range waiting;
  /// The limit of the first sender.
  range first;
};

const load_row kLoads[] = {
  { "one sender alone uses all slots within a second",
    6,
    kOneKind,
    { kNone, kNone, kNone },
    { kAll, kNone, kNone },
    1000ms,
    { 5.7, 6 },
    { 0, 2 },
    { 6, 9 } },
  { "a light load of the others leaves it most slots",
    6,
    kOneKind,
    { kNone, kNone, kNone },
    { kAll, kLight, kLight },
    1500ms,
    { 5.8, 6 },
    { 0, 2 },
    { 4, 7 } },
  { "three under overload share a queue of half the slots",
    6,
    kOneKind,
    { kAll, kAll, kAll },
    { kAll, kAll, kAll },
    3000ms,
    { 5.9, 6 },
    { 2, 4.5 },
    { 2, 4 } },
  { "the same with four slots, of which the floors are six",
    4,
    kOneKind,
    { kAll, kAll, kAll },
    { kAll, kAll, kAll },
    3000ms,
    { 3.9, 4 },
    { 2, 4.6 },
    { 2, 3.2 } },
  { "the same with work of two lengths",
    6,
    kTwoKinds,
    { kAll, kAll, kAll },
    { kAll, kAll, kAll },
    3000ms,
    { 5.9, 6 },
    { 2, 6 },
    { 2, 4 } },
  { "one gives back what it had borrowed",
    6,
    kOneKind,
    { kAll, kNone, kNone },
    { kAll, kAll, kAll },
    1500ms,
    { 5.9, 6 },
    { 2, 6 },
    { 2, 4 } },
  { "it takes the part of two that are gone",
    6,
    kOneKind,
    { kAll, kAll, kAll },
    { kAll, kNone, kNone },
    1000ms,
    { 5.7, 6 },
    { 0, 2 },
    { 6, 9 } },
};

std::string
Format(const char* aName, const char* aWhat, double aValue)
{
  return std::string(aName) + ", " + aWhat + ": " + std::to_string(aValue);
}

} // namespace

TEST_GROUP(concurrency_limit){};

TEST(concurrency_limit, keeps_the_slots_busy_and_the_queue_in_the_server_short)
{
  for (const auto& row : kLoads) {
    double busy = 0;
    double waiting = 0;
    double first = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      shared_server server(row.slots, row.kinds, seed);
      server.wanted = row.before;
      server.Run(5000ms);
      server.wanted = row.after;
      server.Run(row.settling);
      server.Run(1000ms);
      busy += server.busy / kSeeds;
      waiting += server.waiting / kSeeds;
      first += 1.0 * server.limits.front().Limit() / kSeeds;
    }
    CHECK_TEXT(row.busy.Contains(busy), Format(row.name, "busy", busy).c_str());
    CHECK_TEXT(row.waiting.Contains(waiting),
               Format(row.name, "waiting", waiting).c_str());
    CHECK_TEXT(row.first.Contains(first),
               Format(row.name, "limit", first).c_str());
  }
}

// A minimum over a moving window rises with the queue that it should show: the
// queue then grew from four statements to ten within a minute.
TEST(concurrency_limit, a_lasting_overload_does_not_raise_the_queue)
{
  struct lasting_row
  {
    const char* name;
    std::vector<work_kind> kinds;
    double waiting;
  };
  const lasting_row rows[] = {
    { "one kind", kOneKind, 4.0 },
    { "two kinds", kTwoKinds, 5.5 },
  };
  for (const auto& row : rows) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      shared_server server(6, row.kinds, seed);
      server.wanted = { kAll, kAll, kAll };
      server.Run(60000ms);
      server.Run(10000ms);
      CHECK_TEXT(server.waiting <= row.waiting,
                 Format(row.name, "waiting", server.waiting).c_str());
      CHECK_TEXT(server.busy >= 5.9,
                 Format(row.name, "busy", server.busy).c_str());
    }
  }
}

// Longer work is not a longer queue.
TEST(concurrency_limit, long_work_does_not_lower_the_limit)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    shared_server server(6, kTwoKinds, seed);
    server.wanted = { kAll, kNone, kNone };
    server.Run(3000ms);
    server.kinds = kMostlyLong;
    server.Run(5000ms);
    CHECK_TEXT(server.busy >= 5.6,
               Format("long work", "busy", server.busy).c_str());
  }
}

TEST(concurrency_limit, a_server_that_has_become_slower_is_taken_as_it_is)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    shared_server server(6, kOneKind, seed);
    server.wanted = { kAll, kNone, kNone };
    server.Run(3000ms);
    server.slowdown = 4;
    server.Run(6000ms);
    server.Run(4000ms);
    CHECK_TEXT(server.busy >= 4.8,
               Format("slower", "busy", server.busy).c_str());
  }
}

TEST(concurrency_limit, starts_with_its_part_and_stays_between_its_bounds)
{
  struct bounds_row
  {
    const char* name;
    concurrency_bounds bounds;
    unsigned start;
    /// After many rejections.
    unsigned floor;
    /// After many fast answers.
    unsigned most;
  };
  const bounds_row rows[] = {
    { "six slots, three senders", { 6, 3, 12 }, 3, 2, 9 },
    { "four slots, three senders", { 4, 3, 12 }, 2, 2, 6 },
    { "twelve slots, three senders", { 12, 3, 12 }, 6, 4, 12 },
    { "one sender", { 6, 1, 36 }, 9, 6, 9 },
    { "few connections", { 6, 3, 4 }, 3, 2, 4 },
    { "a single connection", { 6, 3, 1 }, 1, 1, 1 },
  };
  for (const auto& row : rows) {
    concurrency_limit limit(row.bounds);
    LONGS_EQUAL_TEXT(row.start, limit.Limit(), row.name);
    auto now = kBegin;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
      limit.Answered(1, 20ms, limit.Limit(), now);
    }
    LONGS_EQUAL_TEXT(row.most, limit.Limit(), row.name);
    // Rejections of one moment are one sign.
    limit.Rejected(now);
    limit.Rejected(now + 1ms);
    LONGS_EQUAL_TEXT(
      std::max(row.most / 2, row.floor), limit.Limit(), row.name);
    for (int i = 0; i < 10; ++i, now += 200ms) {
      limit.Rejected(now);
    }
    LONGS_EQUAL_TEXT(row.floor, limit.Limit(), row.name);
    LONGS_EQUAL_TEXT(row.floor, limit.Floor(), row.name);
  }
}

TEST(concurrency_limit, is_not_raised_while_unused)
{
  concurrency_limit limit({ 6, 3, 12 });
  auto now = kBegin;
  for (int i = 0; i < 1000; ++i, now += 10ms) {
    limit.Answered(1, 20ms, 0, now);
  }
  LONGS_EQUAL(3, limit.Limit());
}

TEST(concurrency_limit, keeps_a_part_for_what_no_other_server_can_run)
{
  struct reserve_row
  {
    const char* name;
    /// Since a request came that only this server can run; empty when none did.
    std::optional<std::chrono::milliseconds> since;
    unsigned running;
    bool onlyHere;
    bool permits;
  };
  // With a limit of three.
  const reserve_row rows[] = {
    { "no such request", std::nullopt, 2, false, true },
    { "no such request, limit reached", std::nullopt, 3, false, false },
    { "a read beside such requests", 100ms, 1, false, true },
    { "a read into their part", 100ms, 2, false, false },
    { "one of them", 100ms, 2, true, true },
    { "one of them, limit reached", 100ms, 3, true, false },
    { "a read once there are none any more", 2500ms, 2, false, true },
  };
  for (const auto& row : rows) {
    concurrency_limit limit({ 6, 3, 12 });
    if (row.since) {
      limit.ArrivedOnlyHere(kBegin);
    }
    const auto now = kBegin + row.since.value_or(0ms);
    CHECK_TEXT(limit.Permits(row.running, row.onlyHere, now) == row.permits,
               row.name);
  }
}

TEST(concurrency_limit, a_restart_of_the_server_drops_what_was_learned)
{
  concurrency_limit limit({ 6, 3, 12 });
  auto now = kBegin;
  for (int i = 0; i < 1000; ++i, now += 10ms) {
    limit.Answered(1, 20ms, limit.Limit(), now);
  }
  limit.Reset();
  LONGS_EQUAL(3, limit.Limit());
  // Slower than before, which is no queue.
  for (int i = 0; i < 1000; ++i, now += 10ms) {
    limit.Answered(1, 80ms, limit.Limit(), now);
  }
  LONGS_EQUAL(9, limit.Limit());
}

TEST(concurrency_limit, a_changed_number_of_senders_keeps_what_was_learned)
{
  concurrency_limit limit({ 12, 3, 12 });
  limit.SetBounds({ 12, 2, 18 });
  LONGS_EQUAL(6, limit.Limit());
  LONGS_EQUAL(6, limit.Floor());
  limit.SetBounds({ 12, 1, 36 });
  LONGS_EQUAL(12, limit.Limit());
}
