// Guards against customers that close each other's connections in turn: each
// request then needs an opening, which takes a slot of the server just when
// slots are scarce.
#include "currantshed/proxy/connection_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::connection_shares;
using proxy::customer_connection;
using proxy::opening_decision;
using proxy::server_occupancy;

namespace {

constexpr clock::time_point kStart{ 1h };
constexpr auto kOpeningTime = 12ms;
constexpr auto kBurstGap = 60ms;

struct held
{
  std::string customer;
  bool isOpen = true;
  bool isIdle = true;
  std::chrono::milliseconds idleFor{ 0 };
  bool isRetiring = false;
};

std::vector<customer_connection>
Views(const std::vector<held>& aHeld, clock::time_point aNow)
{
  std::vector<customer_connection> made;
  made.reserve(aHeld.size());
  for (const auto& one : aHeld) {
    made.push_back({ one.customer,
                     one.isOpen,
                     one.isIdle,
                     one.isRetiring,
                     aNow - one.idleFor });
  }
  return made;
}

/// The rule before shares: an opening for each request without an idle
/// connection, at most two at once and one a customer, in place of the least
/// recently used one.
opening_decision
LeastRecentlyUsed(const std::string& aCustomer,
                  const std::vector<customer_connection>& aConnections,
                  const server_occupancy& aServer)
{
  unsigned opening = 0;
  std::optional<std::size_t> closes;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const auto& one = aConnections[i];
    opening += one.isOpen ? 0 : 1;
    if (!one.isOpen && one.customer == aCustomer) {
      return {};
    }
    if (one.isIdle && one.customer != aCustomer &&
        (!closes || one.idleSince < aConnections[*closes].idleSince)) {
      closes = i;
    }
  }
  if (opening >= 2) {
    return {};
  }
  if (aServer.hasRoom) {
    return { true, std::nullopt };
  }
  return { closes.has_value(), closes };
}

struct replay_settings
{
  std::size_t customers = 87;
  std::size_t limit = 12;
  unsigned slots = 6;
  std::size_t holders = 3;
  /// Requests per second, of all customers at their usual rates.
  double rate = 90;
  /// Share of the two largest customers, each.
  double largest = 0.08;
  /// Exponent by which the rates of the others fall with their rank.
  double skew = 0;
  /// Requests that a customer sends at a time, one after the other.
  unsigned burst = 1;
  /// Factor of the first customer's rate.
  double hot = 1;
  std::chrono::seconds length{ 60 };
  std::chrono::milliseconds statement{ 30 };
};

struct replay_result
{
  unsigned requests = 0;
  unsigned served = 0;
  unsigned openings = 0;
  unsigned othersRequests = 0;
  unsigned othersOpenings = 0;
  /// Sum of the times to the answers.
  std::chrono::milliseconds answerTimes{ 0 };
  /// The same for customers other than the first.
  std::chrono::milliseconds othersAnswerTimes{ 0 };
  /// When the last request was answered.
  std::chrono::milliseconds endedAfter{ 0 };
  /// When the last connection up to the limit was opened.
  std::chrono::milliseconds filledAfter{ 0 };
};

/// Holders before one server whose slots take statements and openings in order
/// of arrival.
class replay
{
public:
  replay(const replay_settings& aSettings, bool aHasShares)
    : mSettings(aSettings)
    , mHasShares(aHasShares)
    , mHolders(aSettings.holders)
  {
  }

  replay_result Run(std::uint32_t aSeed)
  {
    std::mt19937 random(aSeed);
    std::vector<double> rates;
    double sum = 0;
    for (std::size_t i = 0; i < mSettings.customers; ++i) {
      rates.push_back(std::pow(static_cast<double>(i) + 1, -mSettings.skew));
      sum += i < 2 ? 0 : rates.back();
    }
    for (auto& one : rates) {
      one *= (1 - 2 * mSettings.largest) / sum;
    }
    rates[0] = mSettings.largest * mSettings.hot;
    rates[1] = mSettings.largest;
    double total = 0;
    for (const auto one : rates) {
      total += one;
    }
    std::discrete_distribution<std::size_t> pick(rates.begin(), rates.end());
    std::exponential_distribution<double> gap(mSettings.rate * total /
                                              mSettings.burst);
    std::uniform_int_distribution<std::size_t> place(0, mHolders.size() - 1);
    for (auto at = kStart; at < kStart + mSettings.length;) {
      at += std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(gap(random)));
      const auto customer = pick(random);
      const auto holder = place(random);
      for (unsigned i = 0; i < mSettings.burst; ++i) {
        At(at + i * kBurstGap,
           [this, customer, holder] { Arrive(holder, customer); });
      }
    }
    RunEvents();
    return mResult;
  }

  /// All customers ask at once, and no connection is open.
  replay_result RunRestart()
  {
    At(kStart, [this] {
      for (std::size_t h = 0; h < mHolders.size(); ++h) {
        for (std::size_t i = 0; i < mSettings.customers; ++i) {
          Arrive(h, i);
        }
      }
    });
    RunEvents();
    return mResult;
  }

  /// Two customers send two requests at a time, in turn.
  replay_result RunAlternating(unsigned aTurns)
  {
    for (unsigned i = 0; i < 2 * aTurns; ++i) {
      At(kStart + i * 100ms, [this, customer = i % 2] {
        Arrive(0, customer);
        Arrive(0, customer);
      });
    }
    RunEvents();
    return mResult;
  }

private:
  struct place
  {
    std::string customer;
    bool isOpen = false;
    bool isIdle = false;
    clock::time_point idleSince;
  };
  struct waiting
  {
    std::size_t customer;
    clock::time_point since;
  };
  struct holder
  {
    std::vector<std::shared_ptr<place>> connections;
    std::deque<waiting> queue;
    connection_shares shares;
  };
  struct event
  {
    clock::time_point at;
    std::uint64_t number;
    std::function<void()> what;
    [[nodiscard]] friend bool operator<(const event& aLeft, const event& aRight)
    {
      return aLeft.at != aRight.at ? aLeft.at > aRight.at
                                   : aLeft.number > aRight.number;
    }
  };
  struct job
  {
    std::chrono::milliseconds takes;
    std::function<void()> done;
  };

  void At(clock::time_point aAt, std::function<void()> aWhat)
  {
    mEvents.push({ aAt, ++mLast, std::move(aWhat) });
  }

  void RunEvents()
  {
    while (!mEvents.empty()) {
      const auto next = mEvents.top();
      mEvents.pop();
      mNow = next.at;
      next.what();
    }
  }

  void RunOnServer(job aJob)
  {
    if (mRunning >= mSettings.slots) {
      mJobs.push_back(std::move(aJob));
      return;
    }
    ++mRunning;
    At(mNow + aJob.takes, [this, done = std::move(aJob.done)] {
      --mRunning;
      if (!mJobs.empty()) {
        auto next = std::move(mJobs.front());
        mJobs.pop_front();
        RunOnServer(std::move(next));
      }
      done();
    });
  }

  static std::string Name(std::size_t aCustomer)
  {
    return "c" + std::to_string(aCustomer);
  }

  void Arrive(std::size_t aHolder, std::size_t aCustomer)
  {
    ++mResult.requests;
    mResult.othersRequests += aCustomer == 0 ? 0 : 1;
    mHolders[aHolder].queue.push_back({ aCustomer, mNow });
    Dispatch(aHolder, true);
  }

  // First what an idle connection serves as it is, then openings.
  void Dispatch(std::size_t aHolder, bool aIdleFirst)
  {
    auto& queue = mHolders[aHolder].queue;
    for (const bool isOnlyIdle : { true, false }) {
      if (isOnlyIdle && !aIdleFirst) {
        continue;
      }
      std::vector<std::size_t> blocked;
      for (std::size_t i = 0; i < queue.size();) {
        const auto customer = queue[i].customer;
        if (std::count(blocked.begin(), blocked.end(), customer) > 0 ||
            blocked.size() >= 16) {
          ++i;
          continue;
        }
        if (TryStart(aHolder, queue[i], isOnlyIdle)) {
          queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
          continue;
        }
        blocked.push_back(customer);
        ++i;
      }
    }
  }

  bool TryStart(std::size_t aHolder, const waiting& aRequest, bool aOnlyIdle)
  {
    auto& from = mHolders[aHolder];
    const auto name = Name(aRequest.customer);
    for (const auto& one : from.connections) {
      if (one->isIdle && one->customer == name) {
        Start(aHolder, one, aRequest);
        return true;
      }
    }
    if (!aOnlyIdle) {
      TryOpen(aHolder, aRequest.customer);
    }
    return false;
  }

  void TryOpen(std::size_t aHolder, std::size_t aCustomer)
  {
    auto& from = mHolders[aHolder];
    std::vector<customer_connection> views;
    unsigned running = 0;
    for (const auto& one : from.connections) {
      views.push_back(
        { one->customer, one->isOpen, one->isIdle, false, one->idleSince });
      running += one->isOpen && !one->isIdle ? 1 : 0;
    }
    const server_occupancy occupancy{ mSettings.limit,
                                      from.connections.size() < mSettings.limit,
                                      mSettings.slots,
                                      running };
    const auto name = Name(aCustomer);
    const auto made = mHasShares
                        ? from.shares.Decide(name, views, occupancy, mNow)
                        : LeastRecentlyUsed(name, views, occupancy);
    if (!made.opens) {
      return;
    }
    if (made.closes) {
      from.connections.erase(from.connections.begin() +
                             static_cast<std::ptrdiff_t>(*made.closes));
    }
    ++mResult.openings;
    mResult.othersOpenings += aCustomer == 0 ? 0 : 1;
    auto opened = std::make_shared<place>();
    opened->customer = name;
    from.connections.push_back(opened);
    RunOnServer({ kOpeningTime, [this, aHolder, opened, since = mNow] {
                   opened->isOpen = true;
                   opened->isIdle = true;
                   opened->idleSince = mNow;
                   auto& at = mHolders[aHolder];
                   at.shares.Opened(opened->customer, mNow - since, mNow);
                   mResult.filledAfter =
                     mResult.openings <= mSettings.limit * mHolders.size()
                       ? std::chrono::duration_cast<std::chrono::milliseconds>(
                           mNow - kStart)
                       : mResult.filledAfter;
                   Dispatch(aHolder, true);
                 } });
  }

  void Start(std::size_t aHolder,
             const std::shared_ptr<place>& aOn,
             const waiting& aRequest)
  {
    aOn->isIdle = false;
    mHolders[aHolder].shares.Started(
      aOn->customer, std::nullopt, mNow - aOn->idleSince, mNow);
    RunOnServer(
      { mSettings.statement, [this, aHolder, aOn, aRequest, since = mNow] {
         auto& at = mHolders[aHolder];
         at.shares.Returned(mNow - since);
         ++mResult.served;
         mResult.endedAfter =
           std::chrono::duration_cast<std::chrono::milliseconds>(mNow - kStart);
         const auto took =
           std::chrono::duration_cast<std::chrono::milliseconds>(
             mNow - aRequest.since);
         mResult.answerTimes += took;
         mResult.othersAnswerTimes += aRequest.customer == 0 ? 0ms : took;
         const bool isTurnOver =
           mHasShares && at.shares.IsTurnOver(aOn->customer);
         aOn->isIdle = true;
         aOn->idleSince = mNow;
         Dispatch(aHolder, !isTurnOver);
       } });
  }

  replay_settings mSettings;
  bool mHasShares;
  std::vector<holder> mHolders;
  std::priority_queue<event> mEvents;
  std::deque<job> mJobs;
  std::uint64_t mLast = 0;
  unsigned mRunning = 0;
  clock::time_point mNow;
  replay_result mResult;
};

double
PerRequest(unsigned aOpenings, unsigned aRequests)
{
  return static_cast<double>(aOpenings) / std::max(1U, aRequests);
}

struct load_row
{
  const char* name;
  double skew;
  unsigned burst;
  double rate;
  double hot;
  /// Openings per request of customers other than the first, at most, as a part
  /// of those by the former rule.
  double maxOfFormer;
  /// The same, as a part of those while the first customer sends its usual
  /// rate.
  double maxOfUsual;
};

constexpr load_row kLoadRows[] = {
  { "single requests", 0.0, 1, 100, 1.0, 0.98, 1.0 },
  { "single requests, skewed", 1.0, 1, 100, 1.0, 0.84, 1.0 },
  { "bursts", 0.0, 3, 100, 1.0, 0.95, 1.0 },
  { "bursts, skewed", 1.0, 3, 100, 1.0, 0.88, 1.0 },
  { "single requests, a hot customer", 0.0, 1, 100, 7.5, 0.96, 1.05 },
  { "single requests, skewed, a hot customer", 1.0, 1, 100, 7.5, 0.80, 1.05 },
  { "bursts, a hot customer", 0.0, 3, 100, 7.5, 0.68, 1.15 },
  { "bursts, skewed, a hot customer", 1.0, 3, 100, 7.5, 0.58, 1.15 },
  { "idle slots, a hot customer", 1.0, 1, 60, 7.5, 0.82, 1.05 },
};

struct use
{
  const char* customer;
  unsigned times;
  std::optional<double> quotaRate;
  std::chrono::milliseconds ago{ 100 };
};

struct closing_row
{
  const char* name;
  std::vector<use> uses;
  std::vector<held> connections;
  /// Index of the connection that is closed for "new"; empty for none.
  std::optional<std::size_t> closes;
};

const closing_row kClosingRows[] = {
  { "the customer that holds most, although it is used most",
    { { "big", 30, {} }, { "a", 1, {} }, { "b", 1, {} } },
    { { "a", true, true, 900ms },
      { "big", true, true, 10ms },
      { "big", true, false },
      { "b", true, true, 800ms } },
    1 },
  { "among equals the one with the lowest rate",
    { { "a", 9, {} }, { "b", 2, {} }, { "c", 9, {} } },
    { { "a", true, true, 900ms },
      { "b", true, true, 300ms },
      { "c", true, true, 800ms } },
    1 },
  { "among equal rates the one that was idle for longest",
    { { "a", 2, {} }, { "b", 2, {} } },
    { { "a", true, true, 300ms }, { "b", true, true, 900ms } },
    1 },
  { "an unused one before a customer's only used one",
    { { "a", 1, {} }, { "b", 9, {}, 8000ms } },
    { { "a", true, true, 100ms }, { "b", true, true, 8000ms } },
    1 },
  { "one of a server's former incarnation first",
    { { "a", 1, {} } },
    { { "big", true, true, 50ms },
      { "big", true, true, 50ms },
      { "a", true, true, 50ms, true } },
    2 },
  { "a customer with a larger quota keeps its share",
    { { "paid", 9, 90.0 }, { "small", 9, 5.0 }, { "new", 1, 5.0 } },
    { { "paid", true, true, 900ms },
      { "paid", true, true, 900ms },
      { "small", true, true, 10ms },
      { "small", true, true, 10ms } },
    2 },
  { "none while all are busy",
    { { "a", 1, {} } },
    { { "a", true, false }, { "b", true, false } },
    std::nullopt },
  { "even the last used one of others, when it has none itself",
    { { "a", 9, {} } },
    { { "a", true, true, 10ms }, { "b", true, false } },
    0 },
  { "no used one of others for a third of its own",
    { { "a", 3, {} }, { "b", 3, {} }, { "new", 30, {} } },
    { { "new", true, false },
      { "new", true, false },
      { "a", true, true, 10ms },
      { "b", true, true, 10ms },
      { "c", true, false },
      { "d", true, false } },
    std::nullopt },
  { "no used one of a customer that uses it as much",
    { { "a", 9, {} }, { "new", 9, {} } },
    { { "new", true, false }, { "a", true, true, 10ms } },
    std::nullopt },
  { "an unused one for a third of its own",
    { { "a", 3, {}, 8000ms }, { "new", 30, {} } },
    { { "new", true, false },
      { "new", true, false },
      { "a", true, true, 8000ms } },
    2 },
};

struct opening_row
{
  const char* name;
  std::vector<held> connections;
  bool hasRoom;
  unsigned running;
  std::chrono::milliseconds statement;
  std::chrono::milliseconds opening;
  /// Requests of "new" in a row that took a connection when it was returned.
  unsigned backToBack;
  bool opens;
};

const held kIdle{ "a", true, true, 8000ms };
const held kBusy{ "new", true, false };
const held kOpening{ "b", false, false };

const opening_row kOpeningRows[] = {
  { "none yet, with room", { kIdle }, true, 0, 30ms, 12ms, 0, true },
  { "none yet, without room", { kIdle }, false, 0, 30ms, 12ms, 0, true },
  { "being opened already",
    { kIdle, { "new", false, false } },
    true,
    0,
    30ms,
    12ms,
    0,
    false },
  { "its busy one is back later than another is open",
    { kIdle, kBusy },
    false,
    1,
    30ms,
    12ms,
    0,
    true },
  { "its busy one is back first",
    { kIdle, kBusy },
    true,
    1,
    5ms,
    12ms,
    0,
    false },
  { "one of its three busy ones is back first",
    { kIdle, kBusy, kBusy, kBusy },
    true,
    3,
    30ms,
    12ms,
    0,
    false },
  { "more wait than its busy one serves",
    { kIdle, kBusy },
    true,
    1,
    5ms,
    12ms,
    3,
    true },
  { "another one while all slots are used",
    { kIdle, kBusy },
    true,
    6,
    30ms,
    12ms,
    3,
    false },
  { "the first one while all slots are used",
    { kIdle },
    false,
    6,
    30ms,
    12ms,
    0,
    true },
  { "two at once", { kIdle, kOpening }, false, 1, 30ms, 12ms, 0, true },
  { "two at once while statements wait for slots",
    { kIdle, kOpening },
    false,
    6,
    30ms,
    12ms,
    0,
    false },
  { "two at once while openings wait for slots",
    { kIdle, kOpening },
    false,
    1,
    30ms,
    60ms,
    0,
    false },
  { "another one beside a customer's first",
    { kIdle, kBusy, kOpening },
    false,
    1,
    30ms,
    12ms,
    3,
    false },
  { "three at once, with room",
    { kIdle, kOpening, kOpening },
    true,
    6,
    30ms,
    12ms,
    0,
    true },
  { "as many at once as the server has slots",
    { kOpening, kOpening, kOpening, kOpening, kOpening, kOpening },
    true,
    0,
    30ms,
    12ms,
    0,
    false },
};

} // namespace

TEST_GROUP(connection_shares){};

TEST(connection_shares, customers_need_fewer_openings)
{
  for (const auto& row : kLoadRows) {
    replay_settings settings;
    settings.skew = row.skew;
    settings.burst = row.burst;
    settings.rate = row.rate;
    auto usual = settings;
    settings.hot = row.hot;
    const auto former = replay(settings, false).Run(7);
    const auto now = replay(settings, true).Run(7);
    const auto atUsual = replay(usual, true).Run(7);
    CHECK_EQUAL_TEXT(former.requests, now.requests, row.name);
    CHECK_EQUAL_TEXT(now.requests, now.served, row.name);
    const auto others = PerRequest(now.othersOpenings, now.othersRequests);
    CHECK_TEXT(others <= row.maxOfFormer * PerRequest(former.othersOpenings,
                                                      former.othersRequests),
               row.name);
    CHECK_TEXT(others <= row.maxOfUsual * PerRequest(atUsual.othersOpenings,
                                                     atUsual.othersRequests),
               row.name);
    CHECK_TEXT(now.othersAnswerTimes <= former.othersAnswerTimes, row.name);
  }
}

TEST(connection_shares, closes_what_is_least_missed)
{
  for (const auto& row : kClosingRows) {
    connection_shares shares;
    const auto now = kStart + 20s;
    for (const auto& one : row.uses) {
      for (unsigned i = 0; i < one.times; ++i) {
        shares.Started(one.customer, one.quotaRate, 5ms, now - one.ago);
      }
    }
    shares.Returned(300ms);
    const auto made = shares.Decide("new",
                                    Views(row.connections, now),
                                    { row.connections.size(), false, 6, 1 },
                                    now);
    CHECK_TEXT(made.closes == row.closes, row.name);
    CHECK_TEXT(made.opens == row.closes.has_value(), row.name);
  }
}

TEST(connection_shares, opens_or_waits)
{
  for (const auto& row : kOpeningRows) {
    connection_shares shares;
    const auto now = kStart + 20s;
    shares.Opened("a", 12ms, now);
    for (unsigned i = 0; i < 100; ++i) {
      shares.Opened("a", row.opening, now);
      shares.Returned(row.statement);
    }
    shares.Started("new", std::nullopt, 5ms, now);
    for (unsigned i = 0; i < row.backToBack; ++i) {
      shares.Started("new", std::nullopt, 0ms, now);
    }
    const auto made = shares.Decide("new",
                                    Views(row.connections, now),
                                    { 12, row.hasRoom, 6, row.running },
                                    now);
    CHECK_TEXT(made.opens == row.opens, row.name);
  }
}

// Two customers that each send two requests at a time share two connections.
// Each second request closed the other's connection.
TEST(connection_shares, two_customers_do_not_close_each_others)
{
  replay_settings settings;
  settings.customers = 2;
  settings.limit = 2;
  settings.holders = 1;
  for (const bool hasShares : { false, true }) {
    const auto got = replay(settings, hasShares).RunAlternating(100);
    CHECK_EQUAL(400, got.served);
    // By the former rule two for each pair of requests. The first customer has
    // both connections until the second one asks.
    CHECK(hasShares ? got.openings <= 3 : got.openings > 300);
  }
}

TEST(connection_shares, a_customer_with_one_request_a_minute_is_served)
{
  connection_shares shares;
  std::vector<held> connections;
  connections.reserve(12);
  for (int i = 0; i < 12; ++i) {
    connections.push_back({ "c" + std::to_string(i) });
  }
  for (auto now = kStart; now < kStart + 600s; now += 1s) {
    for (const auto& one : connections) {
      shares.Started(one.customer, std::nullopt, 10ms, now);
    }
    const bool isItsTurn = (now - kStart) % 60s == 0s;
    if (!isItsTurn) {
      continue;
    }
    // All slots are used, and all connections were used just before.
    const auto made =
      shares.Decide("rare", Views(connections, now), { 12, false, 6, 6 }, now);
    CHECK(made.opens && made.closes);
    shares.Started("rare", std::nullopt, 10ms, now);
  }
}

// All VMs start again, and each customer asks each holder at once.
TEST(connection_shares, after_a_restart_all_connections_are_opened_at_once)
{
  const auto former = replay({}, false).RunRestart();
  const auto now = replay({}, true).RunRestart();
  CHECK_EQUAL(261, now.served);
  // 36 openings of 12 ms on six slots take 72 ms.
  CHECK(former.filledAfter > 150ms);
  CHECK(now.filledAfter <= 80ms);
  // The slots are used to the end: 261 openings and statements of 42 ms on six
  // slots take 1827 ms, and the last ones one more of these.
  CHECK(now.endedAfter <= 1827ms + 42ms);
  CHECK(now.answerTimes <= former.answerTimes);
}

// While requests of one customer take each connection as it is returned, what
// waits is served in its own order from time to time.
TEST(connection_shares, waiting_requests_of_one_customer_take_turns)
{
  connection_shares shares;
  CHECK(!shares.IsTurnOver("a"));
  shares.Started("a", std::nullopt, 5ms, kStart);
  unsigned turns = 0;
  for (int i = 0; i < 80; ++i) {
    shares.Started("a", std::nullopt, 0ms, kStart);
    turns += shares.IsTurnOver("a") ? 1 : 0;
  }
  CHECK_EQUAL(10, turns);
  shares.Started("a", std::nullopt, 5ms, kStart);
  CHECK(!shares.IsTurnOver("a"));
}

TEST(connection_shares, forgets_customers)
{
  connection_shares shares;
  for (int i = 0; i < 5000; ++i) {
    shares.Started("c" + std::to_string(i), std::nullopt, 5ms, kStart);
  }
  CHECK(shares.Size() <= 1024);
  shares.Started("last", std::nullopt, 5ms, kStart + 61s);
  CHECK_EQUAL(1, shares.Size());
  CHECK(shares.RateOf("c1", kStart + 61s) == 0);
}
