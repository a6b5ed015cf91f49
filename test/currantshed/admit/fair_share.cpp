#include "currantshed/admit/fair_share.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantshed/admit/deadline_queue.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::admit::deadline_queue;
using currantshed::admit::fair_share;
using currantshed::admit::fair_ticket;
using currantshed::admit::queued_request;
using currantshed::clock::time_point;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };
constexpr auto kTarget = 400ms;

/// Offered load of one customer.
struct customer_load
{
  std::string name;
  double objective = 0;
  /// Time between two of its requests, and the server time of each.
  std::chrono::milliseconds every{ 0 };
  std::chrono::milliseconds work{ 0 };
};

struct customer_result
{
  unsigned offered = 0;
  unsigned served = 0;
  unsigned inTime = 0;
  std::chrono::milliseconds used{ 0 };
};

struct queue_result
{
  std::map<std::string, customer_result> customers;
  /// Milliseconds in which a slot rested while requests waited.
  unsigned wasted = 0;
  /// Requests displaced by one of a less strict class.
  unsigned displacedByLower = 0;
  std::size_t mostCustomers = 0;
};

/// One queue before a server, in steps of a millisecond.
class queue_model
{
public:
  queue_model(unsigned aSlots, bool aIsFair, std::uint32_t aSeed)
    : mSlots(aSlots)
    , mIsFair(aIsFair)
    , mRandom(aSeed)
  {
  }

  queue_result Run(const std::vector<customer_load>& aLoads,
                   std::chrono::milliseconds aDuration)
  {
    for (mNow = kStart; mNow < kStart + aDuration; mNow += 1ms) {
      Complete();
      for (const auto& one : aLoads) {
        const auto steps = static_cast<unsigned>(one.every.count());
        if (mRandom() % steps == 0) {
          Offer(one);
        }
      }
      Dispatch();
    }
    return mResult;
  }

private:
  struct work
  {
    const customer_load* of = nullptr;
    queued_request entry;
    time_point arrivedAt;
    time_point startedAt;
    std::optional<fair_ticket> ticket;
  };

  void Offer(const customer_load& aLoad)
  {
    work made;
    made.of = &aLoad;
    made.arrivedAt = mNow;
    if (mIsFair) {
      auto& share = mShares[aLoad.objective];
      if (share == nullptr) {
        share = std::make_shared<fair_share>();
      }
      made.ticket.emplace(share, aLoad.name);
      mResult.mostCustomers =
        std::max(mResult.mostCustomers, share->Customers());
    }
    const auto number = ++mLastNumber;
    made.entry = { mNow + kTarget / 2,
                   number,
                   aLoad.objective,
                   made.ticket ? made.ticket->Round() : 0 };
    ++mResult.customers[aLoad.name].offered;
    const auto result = mQueue.TryAdmit(made.entry, mNow);
    if (!result.admitted) {
      return;
    }
    for (const auto displaced : result.displaced) {
      const auto objective = mWaiting.at(displaced).entry.objective;
      mResult.displacedByLower += objective > aLoad.objective ? 1 : 0;
      mWaiting.erase(displaced);
    }
    mWaiting.emplace(number, std::move(made));
  }

  void Dispatch()
  {
    const std::vector<queued_request> entries(mQueue.Entries().begin(),
                                              mQueue.Entries().end());
    for (const bool inTime : { true, false }) {
      for (const auto& entry : entries) {
        if (mRunning.size() < mSlots &&
            mQueue.CanMeetDeadline(entry, mNow) == inTime) {
          Start(entry);
        }
      }
    }
    if (mRunning.size() < mSlots && !mQueue.Entries().empty()) {
      ++mResult.wasted;
    }
  }

  void Start(const queued_request& aEntry)
  {
    const auto found = mWaiting.find(aEntry.request);
    if (found == mWaiting.end()) {
      return;
    }
    mQueue.Remove(aEntry);
    mQueue.Departed(mNow, aEntry.objective);
    auto started = std::move(found->second);
    mWaiting.erase(found);
    if (started.arrivedAt + kTarget < mNow) {
      return;
    }
    started.startedAt = mNow;
    if (started.ticket) {
      started.ticket->Dispatched();
    }
    const auto half = started.of->work / 2;
    const auto time =
      half + std::chrono::milliseconds{ mRandom() % (2 * half.count() + 1) };
    mRunning.emplace(mNow + time, std::move(started));
  }

  void Complete()
  {
    while (!mRunning.empty() && mRunning.begin()->first <= mNow) {
      auto done = std::move(mRunning.begin()->second);
      mRunning.erase(mRunning.begin());
      const auto used = mNow - done.startedAt;
      if (done.ticket) {
        done.ticket->Use(used);
      }
      mQueue.Served(used, done.of->objective);
      auto& result = mResult.customers[done.of->name];
      ++result.served;
      result.inTime += mNow <= done.arrivedAt + kTarget ? 1 : 0;
      result.used +=
        std::chrono::duration_cast<std::chrono::milliseconds>(used);
    }
  }

  unsigned mSlots;
  bool mIsFair;
  std::mt19937 mRandom;
  time_point mNow;
  std::uint64_t mLastNumber = 0;
  deadline_queue mQueue{ 512 };
  std::map<double, std::shared_ptr<fair_share>> mShares;
  std::map<std::uint64_t, work> mWaiting;
  std::multimap<time_point, work> mRunning;
  queue_result mResult;
};

// Fraction of the customer's requests that were answered in time.
double
InTime(const queue_result& aResult, const std::string& aCustomer)
{
  const auto& one = aResult.customers.at(aCustomer);
  return 1.0 * one.inTime / one.offered;
}

/// A load, and the fraction in time that each customer must reach.
struct share_row
{
  const char* name;
  std::vector<customer_load> loads;
  std::map<std::string, double> least;
  /// The fraction in time that a customer may reach at most without the tags:
  /// the load must be one that they make a difference for.
  std::map<std::string, double> mostWithout;
};

// Three slots.
const share_row kShareRows[] = {
  { "a customer at eight times its usual: the others are served as before",
    { { "hot", 0.9, 5ms, 20ms },
      { "a", 0.9, 40ms, 20ms },
      { "b", 0.9, 40ms, 20ms } },
    { { "a", 0.95 }, { "b", 0.95 }, { "hot", 0.35 } },
    { { "a", 0.8 }, { "b", 0.8 } } },
  { "the same, its requests being longer",
    { { "hot", 0.9, 20ms, 80ms },
      { "a", 0.9, 40ms, 20ms },
      { "b", 0.9, 40ms, 20ms } },
    { { "a", 0.95 }, { "b", 0.95 }, { "hot", 0.25 } },
    { { "a", 0.8 }, { "b", 0.8 } } },
  { "two classes at 1.7 times the room together: the strictest is served",
    { { "strict", 0.99, 7ms, 11ms }, { "lenient", 0.5, 16ms, 55ms } },
    { { "strict", 0.95 }, { "lenient", 0.2 } },
    {} },
  { "the strictest class alone at 1.7 times the room: its customers are served "
    "alike",
    { { "x", 0.99, 5ms, 11ms },
      { "y", 0.99, 5ms, 11ms },
      { "lenient", 0.5, 80ms, 55ms } },
    { { "x", 0.55 }, { "y", 0.55 } },
    {} },
};

} // namespace

TEST_GROUP(fair_share){};

TEST(fair_share, customers_below_their_share_are_served_in_time)
{
  constexpr std::uint32_t kSeeds = 5;
  for (const auto& row : kShareRows) {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const auto fair = queue_model(3, true, seed).Run(row.loads, 20s);
      for (const auto& [customer, least] : row.least) {
        const auto part = InTime(fair, customer);
        const auto text =
          std::string(row.name) + ", " + customer + ": " + std::to_string(part);
        CHECK_TEXT(part >= least, text.c_str());
      }
      const auto unfair = queue_model(3, false, seed).Run(row.loads, 20s);
      for (const auto& [customer, most] : row.mostWithout) {
        const auto part = InTime(unfair, customer);
        const auto text = std::string(row.name) + ", without, " + customer +
                          ": " + std::to_string(part);
        CHECK_TEXT(part <= most, text.c_str());
      }
    }
  }
}

// Whatever the loads: no slot rests while a request waits, no class is
// displaced by a lower one, and customers that have left are forgotten.
TEST(fair_share, properties_of_random_loads)
{
  constexpr std::uint32_t kRuns = 60;
  constexpr double kObjectives[] = { 0.5, 0.9, 0.99 };
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    std::mt19937 random(seed);
    std::vector<customer_load> loads;
    const auto count = 1 + random() % 12;
    for (unsigned i = 0; i < count; ++i) {
      loads.push_back({ "customer-" + std::to_string(i),
                        kObjectives[random() % 3],
                        std::chrono::milliseconds{ 2 + random() % 60 },
                        std::chrono::milliseconds{ 2 + random() % 60 } });
    }
    const auto text = "seed " + std::to_string(seed);
    const auto result =
      queue_model(1 + random() % 6, true, seed).Run(loads, 3s);
    LONGS_EQUAL_TEXT(0, result.wasted, text.c_str());
    LONGS_EQUAL_TEXT(0, result.displacedByLower, text.c_str());
    CHECK_TEXT(result.mostCustomers <= count, text.c_str());
  }
}

TEST(fair_share, customers_without_work_are_dropped)
{
  constexpr int kCustomers = 1000;
  fair_share share;
  // One customer always has a request open, so that the busy period goes on.
  auto held = share.Arrived("held");
  for (int i = 0; i < kCustomers; ++i) {
    const auto name = "customer-" + std::to_string(i);
    const auto charge = share.Arrived(name);
    share.Dispatched(charge);
    share.Finished(name, charge, 10ms);
    const auto next = share.Arrived("held");
    share.Dispatched(next);
    share.Finished("held", held, 10ms);
    held = next;
    CHECK(share.Customers() <= 4);
  }
  share.Finished("held", held, 10ms);
  LONGS_EQUAL(0, share.Customers());
}

TEST(fair_share, a_request_that_was_not_sent_is_not_charged)
{
  const auto share = std::make_shared<fair_share>();
  const auto other = share->Arrived("other");
  for (int i = 0; i < 100; ++i) {
    const fair_ticket ticket(share, "a");
    LONGS_EQUAL(0, ticket.Round());
  }
  share->Finished("other", other, 10ms);
}

TEST(fair_share, the_time_used_replaces_the_time_expected)
{
  fair_share share;
  const auto other = share.Arrived("other");
  const auto first = share.Arrived("a");
  share.Dispatched(first);
  share.Finished("a", first, 200ms);
  CHECK(fair_share::Round(share.Arrived("a")) == 4);
  CHECK(fair_share::Round(share.Arrived("b")) == 0);
  share.Finished("other", other, 10ms);
}
