#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "test/currantshed/group/fake_group.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::group::operation;
using currantshed::group::request;
using currantshed::group::request_id;
using currantshed::outcome::reason;
using currantshed::outcome::verdict;
using currantshed::test::fake_group;
using namespace std::chrono_literals;

namespace {

// A batch takes 10 ms at its server and 1 ms on the way, and each of three
// servers has two slots.
constexpr auto kBatchTime = 10ms;
constexpr double kReadCapacity = 2 * 2 / 0.011;
constexpr double kWriteCapacity = 2 / 0.011;
constexpr double kBrowsing = 100;
constexpr double kReports = 60;
constexpr double kQuotes = 60;
constexpr double kKeptGoodput = 0.95;
constexpr double kFew = 0.01;
constexpr auto kLoadTime = 3000ms;

struct tally
{
  unsigned asked = 0;
  unsigned done = 0;
  unsigned late = 0;
  unsigned refused = 0;
  unsigned refusedLate = 0;
};

struct pending
{
  std::string kind;
  time_point asked;
};

// What one kind of request asks for.
struct kind
{
  const char* name;
  operation asks;
  bool fresh;
  double objective;
  std::chrono::milliseconds time;
};

// Browsing from replicas; quotes, which are fresh reads; reports.
constexpr kind kBrowsingKind{ "browsing", operation::kRead, false, 0.9, 300ms };
constexpr kind kQuoteKind{ "quotes", operation::kRead, true, 0.99, 500ms };
constexpr kind kReportKind{ "reports", operation::kWrite, true, 0.999, 500ms };

// Requests of the three kinds in a second.
struct rates
{
  double browsing = 0;
  double quotes = 0;
  double reports = 0;
};

// Poisson arrivals of the three kinds.
class load
{
public:
  explicit load(const rates& aRates)
    : mRates(aRates)
  {
    mGroup.batchTime = kBatchTime;
    mGroup.Run(200ms);
  }

  std::map<std::string, tally> Go()
  {
    const auto end = mGroup.Now() + kLoadTime;
    while (mGroup.Now() < end) {
      Arrive(mRates.browsing, kBrowsingKind);
      Arrive(mRates.quotes, kQuoteKind);
      Arrive(mRates.reports, kReportKind);
      mGroup.Run(1ms);
      Judge();
    }
    mGroup.Run(2000ms);
    Judge();
    return mTallies;
  }

private:
  void Arrive(double aRate, const kind& aKind)
  {
    std::poisson_distribution<int> arrivals(aRate / 1000);
    for (auto count = arrivals(mRandom); count > 0; --count) {
      auto asked = aKind.asks == operation::kWrite
                     ? mGroup.Write("report")
                     : mGroup.Read(aKind.fresh ? 0ms : 10s);
      asked.work.objective = aKind.objective;
      asked.deadline = mGroup.Now() + aKind.time;
      const auto id = mGroup.Submit(std::move(asked));
      mPending[id] = { aKind.name, mGroup.Now() };
      ++mTallies[aKind.name].asked;
    }
  }

  void Judge()
  {
    for (auto it = mPending.begin(); it != mPending.end();) {
      const auto* told = mGroup.Answer(it->first);
      if (told == nullptr) {
        ++it;
        continue;
      }
      auto& tally = mTallies[it->second.kind];
      if (told->verdict == verdict::kDone) {
        ++tally.done;
      } else if (told->why == reason::kOverloaded) {
        ++tally.refused;
        tally.refusedLate += mGroup.Now() - it->second.asked > 5ms ? 1 : 0;
      } else {
        ++tally.late;
      }
      it = mPending.erase(it);
    }
  }

  rates mRates;
  std::mt19937 mRandom{ 7 };
  fake_group mGroup;
  std::map<request_id, pending> mPending;
  std::map<std::string, tally> mTallies;
};

// Hardly anything that was admitted ends late, or is refused late.
void
CheckPrompt(const std::map<std::string, tally>& aTold, const std::string& aName)
{
  for (const auto& [kind, tally] : aTold) {
    CHECK_TEXT(tally.late <= tally.done * kFew, aName.c_str());
    CHECK_TEXT(tally.refusedLate <= tally.refused * kFew, aName.c_str());
  }
}

} // namespace

TEST_GROUP(overload){};

TEST(overload, browsing_gives_way_and_goodput_stays)
{
  auto best = load({ 1.5 * kReadCapacity, kQuotes, kReports }).Go();
  for (const double times : { 2.0, 4.0 }) {
    auto told = load({ times * kReadCapacity, kQuotes, kReports }).Go();
    const auto name = std::to_string(times) + " times the capacity";
    CheckPrompt(told, name);
    LONGS_EQUAL_TEXT(told["reports"].asked, told["reports"].done, name.c_str());
    CHECK_TEXT(told["browsing"].done >= best["browsing"].done * kKeptGoodput,
               name.c_str());
  }
}

TEST(overload, goodput_of_writes_stays)
{
  auto best = load({ kBrowsing, 0, 1.5 * kWriteCapacity }).Go();
  for (const double times : { 2.0, 4.0 }) {
    auto told = load({ kBrowsing, 0, times * kWriteCapacity }).Go();
    const auto name = std::to_string(times) + " times the capacity";
    CheckPrompt(told, name);
    CHECK_TEXT(told["reports"].done >= best["reports"].done * kKeptGoodput,
               name.c_str());
  }
}
