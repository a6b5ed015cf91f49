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

// A batch takes 10 ms at its server and 1 ms in transit, and each of three
// servers has two slots.
constexpr auto kBatchTime = 10ms;
constexpr double kReadCapacity = 2 * 2 / 0.011;
constexpr double kWriteCapacity = 2 / 0.011;
constexpr double kBrowsing = 100;
constexpr double kReports = 60;
constexpr double kQuotes = 60;
constexpr double kMinGoodputRatio = 0.95;
constexpr double kMaxLateRatio = 0.01;
constexpr auto kLoadTime = 3000ms;

struct tally
{
  unsigned submitted = 0;
  unsigned done = 0;
  unsigned late = 0;
  unsigned refused = 0;
  unsigned refusedLate = 0;
};

struct pending
{
  std::string kind;
  time_point submitted;
};

// Parameters of one kind of request.
struct kind
{
  const char* name;
  operation requestKind;
  bool fresh;
  double objective;
  std::chrono::milliseconds time;
};

// Browsing from replicas; quotes, which are fresh reads; reports.
constexpr kind kBrowsingKind{ "browsing", operation::kRead, false, 0.9, 300ms };
constexpr kind kQuoteKind{ "quotes", operation::kRead, true, 0.99, 500ms };
constexpr kind kReportKind{ "reports", operation::kWrite, true, 0.999, 500ms };

// Requests per second of the three kinds.
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
      CheckAnswers();
    }
    mGroup.Run(2000ms);
    CheckAnswers();
    return mTallies;
  }

private:
  void Arrive(double aRate, const kind& aKind)
  {
    std::poisson_distribution<int> arrivals(aRate / 1000);
    for (auto count = arrivals(mRandom); count > 0; --count) {
      auto submitted = aKind.requestKind == operation::kWrite
                         ? mGroup.Write("report")
                         : mGroup.Read(aKind.fresh ? 0ms : 10s);
      submitted.work.objective = aKind.objective;
      submitted.deadline = mGroup.Now() + aKind.time;
      const auto id = mGroup.Submit(std::move(submitted));
      mPending[id] = { aKind.name, mGroup.Now() };
      ++mTallies[aKind.name].submitted;
    }
  }

  void CheckAnswers()
  {
    for (auto it = mPending.begin(); it != mPending.end();) {
      const auto* result = mGroup.Answer(it->first);
      if (result == nullptr) {
        ++it;
        continue;
      }
      auto& tally = mTallies[it->second.kind];
      if (result->verdict == verdict::kDone) {
        ++tally.done;
      } else if (result->why == reason::kOverloaded) {
        ++tally.refused;
        tally.refusedLate += mGroup.Now() - it->second.submitted > 5ms ? 1 : 0;
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

// Almost no admitted request ends late, and almost no request is refused late.
void
CheckLatency(const std::map<std::string, tally>& aTallies,
             const std::string& aName)
{
  for (const auto& [kind, tally] : aTallies) {
    CHECK_TEXT(tally.late <= tally.done * kMaxLateRatio, aName.c_str());
    CHECK_TEXT(tally.refusedLate <= tally.refused * kMaxLateRatio,
               aName.c_str());
  }
}

} // namespace

TEST_GROUP(overload){};

TEST(overload, browsing_is_shed_and_goodput_stays)
{
  auto best = load({ 1.5 * kReadCapacity, kQuotes, kReports }).Go();
  for (const double times : { 2.0, 4.0 }) {
    auto tallies = load({ times * kReadCapacity, kQuotes, kReports }).Go();
    const auto name = std::to_string(times) + " times the capacity";
    CheckLatency(tallies, name);
    LONGS_EQUAL_TEXT(
      tallies["reports"].submitted, tallies["reports"].done, name.c_str());
    CHECK_TEXT(tallies["browsing"].done >=
                 best["browsing"].done * kMinGoodputRatio,
               name.c_str());
  }
}

TEST(overload, goodput_of_writes_stays)
{
  auto best = load({ kBrowsing, 0, 1.5 * kWriteCapacity }).Go();
  for (const double times : { 2.0, 4.0 }) {
    auto tallies = load({ kBrowsing, 0, times * kWriteCapacity }).Go();
    const auto name = std::to_string(times) + " times the capacity";
    CheckLatency(tallies, name);
    CHECK_TEXT(tallies["reports"].done >=
                 best["reports"].done * kMinGoodputRatio,
               name.c_str());
  }
}
