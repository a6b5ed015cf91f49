#include "currantshed/store/apply.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using currantshed::clock::time_point;
using currantshed::policy::configuration_record;
using currantshed::policy::kEarlierChanges;
using currantshed::policy::NextConfigurationRecord;
using currantshed::policy::ParseConfigurationRecord;
using currantshed::policy::PrintConfigurationRecord;
using currantshed::store::applier;
using currantshed::store::apply_action;
using currantshed::store::apply_outcome;
using currantshed::store::apply_request;
using currantshed::store::apply_result;
using currantshed::store::entry;
using currantshed::store::errc;
using currantshed::store::swap_configuration;
using currantshed::store::swap_outcome;

namespace {

constexpr char kChange[] = "mine";
constexpr std::uint64_t kSeen = 3;
constexpr time_point kStart{ 1h };
constexpr auto kLongWait = 1min;

/// A simulated event, of the call in progress or outside of it.
enum class step
{
  /// The call is executed, and its response arrives.
  kRespond,
  /// The call fails without effect; a write may still take effect later.
  kLose,
  /// The call takes effect, but its response is lost.
  kLoseResponse,
  /// The first lost write takes effect after all.
  kDeliverLost,
  /// Another operator makes a change.
  kOther,
  /// The key is overwritten with an invalid record.
  kCorrupt,
};

constexpr std::array kAllSteps = { step::kRespond,      step::kLose,
                                   step::kLoseResponse, step::kDeliverLost,
                                   step::kOther,        step::kCorrupt };

/// The store, other operators, and the network in between.
class simulated_store
{
public:
  explicit simulated_store(std::uint64_t aVersion)
  {
    while (Record().version < aVersion) {
      ChangeByOther();
    }
  }

  [[nodiscard]] const entry& Entry() const { return mEntry; }

  [[nodiscard]] configuration_record Record() const
  {
    return ParseConfigurationRecord(mEntry.value).value_or(mLastGood);
  }

  void ChangeByOther()
  {
    const auto former = Record();
    const auto name = "other-" + std::to_string(former.version + 1);
    Store(PrintConfigurationRecord(NextConfigurationRecord(former, name, "o")));
  }

  void Corrupt() { Store("{"); }

  bool Swap(const swap_configuration& aSwap)
  {
    if (aSwap.expected != mEntry.version) {
      return false;
    }
    Store(aSwap.value);
    mTimesApplied += Record().change == kChange ? 1 : 0;
    return true;
  }

  void Lose(const swap_configuration& aSwap) { mLost.push_back(aSwap); }

  void DeliverLost()
  {
    if (!mLost.empty()) {
      const auto swap = mLost.front();
      mLost.erase(mLost.begin());
      Swap(swap);
    }
  }

  void DeliverAllLost()
  {
    while (!mLost.empty()) {
      DeliverLost();
    }
  }

  /// How many times the change under test was made.
  [[nodiscard]] int TimesApplied() const { return mTimesApplied; }

private:
  void Store(const std::string& aValue)
  {
    mLastGood = Record();
    mEntry = entry{ aValue, mEntry.version + 1 };
  }

  entry mEntry;
  configuration_record mLastGood;
  std::vector<swap_configuration> mLost;
  int mTimesApplied = 0;
};

/// Runs an applier through a sequence of steps.
class simulation
{
public:
  simulation(apply_request aRequest, std::uint64_t aVersion)
    : mStore(aVersion)
    , mSubject(std::move(aRequest), kStart)
  {
    TakeAction();
  }

  void Do(step aStep)
  {
    switch (aStep) {
      case step::kDeliverLost:
        mStore.DeliverLost();
        return;
      case step::kOther:
        mStore.ChangeByOther();
        return;
      case step::kCorrupt:
        mStore.Corrupt();
        return;
      default:
        EndCall(aStep);
        return;
    }
  }

  /// Lets the time run out and all lost writes take effect.
  void End()
  {
    if (mCall && std::holds_alternative<swap_configuration>(*mCall)) {
      mStore.Lose(std::get<swap_configuration>(*mCall));
    }
    mNow += kLongWait;
    mSubject.Tick(mNow);
    mStore.DeliverAllLost();
  }

  [[nodiscard]] const std::optional<apply_result>& Result() const
  {
    return mSubject.Result();
  }

  [[nodiscard]] int TimesApplied() const { return mStore.TimesApplied(); }

private:
  void TakeAction()
  {
    auto actions = mSubject.TakeActions();
    mHasOverlappingCalls =
      mHasOverlappingCalls || actions.size() + (mCall ? 1 : 0) > 1;
    if (!actions.empty()) {
      mCall = actions.front();
    }
  }

  void EndCall(step aStep)
  {
    if (!mCall && !mSubject.Result()) {
      mNow = mSubject.NextTick();
      mSubject.Tick(mNow);
      TakeAction();
    }
    if (!mCall) {
      return;
    }
    const auto call = *mCall;
    mCall.reset();
    if (const auto* swap = std::get_if<swap_configuration>(&call)) {
      mSubject.ConfigurationSwapped(EndSwap(*swap, aStep), mNow);
    } else if (aStep == step::kRespond) {
      mSubject.ConfigurationRead({}, mStore.Entry(), mNow);
    } else {
      mSubject.ConfigurationRead(errc::kTimeout, {}, mNow);
    }
    TakeAction();
    CHECK_FALSE_TEXT(mHasOverlappingCalls, "more than one call in progress");
  }

  swap_outcome EndSwap(const swap_configuration& aSwap, step aStep)
  {
    if (aStep == step::kLose) {
      mStore.Lose(aSwap);
      return swap_outcome::kUnknown;
    }
    const bool applied = mStore.Swap(aSwap);
    if (aStep == step::kLoseResponse) {
      return swap_outcome::kUnknown;
    }
    return applied ? swap_outcome::kApplied : swap_outcome::kConflict;
  }

  simulated_store mStore;
  time_point mNow = kStart;
  applier mSubject;
  std::optional<apply_action> mCall;
  bool mHasOverlappingCalls = false;
};

apply_request
Request(std::uint64_t aSeen = kSeen)
{
  apply_request request;
  request.declaration = "d";
  request.change = kChange;
  request.expectedVersion = aSeen;
  return request;
}

struct apply_row
{
  const char* name;
  std::uint64_t inStore;
  std::vector<step> steps;
  apply_outcome outcome;
  std::uint64_t inForce;
  int timesApplied;
};

std::vector<step>
FollowedBy(std::vector<step> aFirst, std::size_t aTimes, step aLast)
{
  aFirst.insert(aFirst.end(), aTimes, aLast);
  return aFirst;
}

std::vector<step>
LostResponseThenOthers(std::size_t aOthers)
{
  auto steps =
    FollowedBy({ step::kRespond, step::kLoseResponse }, aOthers, step::kOther);
  steps.push_back(step::kRespond);
  return steps;
}

const apply_row kRows[] = {
  { "no faults",
    kSeen,
    { step::kRespond, step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "another change was made before the start",
    5,
    { step::kRespond },
    apply_outcome::kLostRace,
    5,
    0 },
  { "another change is made between read and write",
    kSeen,
    { step::kRespond, step::kOther, step::kRespond, step::kRespond },
    apply_outcome::kLostRace,
    4,
    0 },
  { "the response to an applied write is lost",
    kSeen,
    { step::kRespond, step::kLoseResponse, step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "response lost, then changes by others",
    kSeen,
    LostResponseThenOthers(2),
    apply_outcome::kApplied,
    6,
    1 },
  { "response lost, then as many changes by others as a record lists",
    kSeen,
    LostResponseThenOthers(kEarlierChanges),
    apply_outcome::kApplied,
    4 + kEarlierChanges,
    1 },
  { "response lost, then more changes by others than a record lists",
    kSeen,
    LostResponseThenOthers(kEarlierChanges + 1),
    apply_outcome::kUnknown,
    5 + kEarlierChanges,
    1 },
  { "response lost, after a change by another operator",
    kSeen,
    { step::kRespond, step::kOther, step::kLoseResponse, step::kRespond },
    apply_outcome::kLostRace,
    4,
    0 },
  { "write lost, then retried",
    kSeen,
    { step::kRespond, step::kLose, step::kRespond, step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "write lost, then a change by another operator",
    kSeen,
    { step::kRespond, step::kLose, step::kOther, step::kRespond },
    apply_outcome::kLostRace,
    4,
    0 },
  { "a lost write takes effect between the read and the retry",
    kSeen,
    { step::kRespond,
      step::kLose,
      step::kRespond,
      step::kDeliverLost,
      step::kRespond,
      step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "write lost, then the response to its retry lost",
    kSeen,
    { step::kRespond,
      step::kLose,
      step::kRespond,
      step::kLoseResponse,
      step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "an outage from the start",
    kSeen,
    { step::kLose, step::kLose },
    apply_outcome::kNotReached,
    0,
    0 },
  { "an outage after an applied write",
    kSeen,
    { step::kRespond, step::kLoseResponse, step::kLose, step::kLose },
    apply_outcome::kUnknown,
    3,
    1 },
  { "an outage after an applied write that ends in time",
    kSeen,
    { step::kRespond, step::kLoseResponse, step::kLose, step::kRespond },
    apply_outcome::kApplied,
    4,
    1 },
  { "an outage after a rejected write",
    kSeen,
    { step::kRespond, step::kOther, step::kRespond, step::kLose },
    apply_outcome::kNotReached,
    3,
    0 },
  { "a write without a response at the timeout",
    kSeen,
    { step::kRespond },
    apply_outcome::kUnknown,
    3,
    0 },
  { "an invalid record at the start",
    kSeen,
    { step::kCorrupt, step::kRespond },
    apply_outcome::kUnreadable,
    0,
    0 },
  { "an invalid record while a write is in doubt",
    kSeen,
    { step::kRespond, step::kLoseResponse, step::kCorrupt, step::kRespond },
    apply_outcome::kUnknown,
    3,
    1 },
  { "the store was restored from an older snapshot",
    2,
    { step::kRespond },
    apply_outcome::kLostRace,
    2,
    0 },
};

struct allowed_count
{
  apply_outcome outcome;
  int fewest;
  int most;
};

/// How many times the change may have been made for each reported outcome.
constexpr allowed_count kAllowedCounts[] = {
  { apply_outcome::kApplied, 1, 1 },    { apply_outcome::kLostRace, 0, 0 },
  { apply_outcome::kNotReached, 0, 0 }, { apply_outcome::kUnknown, 0, 1 },
  { apply_outcome::kUnreadable, 0, 0 }, { apply_outcome::kTooLarge, 0, 0 },
};

bool
IsAccurate(apply_outcome aOutcome, int aTimesMade)
{
  return std::any_of(std::begin(kAllowedCounts),
                     std::end(kAllowedCounts),
                     [&](const allowed_count& aCount) {
                       return aCount.outcome == aOutcome &&
                              aTimesMade >= aCount.fewest &&
                              aTimesMade <= aCount.most;
                     });
}

} // namespace

TEST_GROUP(apply){};

TEST(apply, rows)
{
  for (const auto& row : kRows) {
    simulation subject(Request(), row.inStore);
    for (const auto next : row.steps) {
      subject.Do(next);
    }
    const int made = subject.TimesApplied();
    subject.End();
    CHECK_TEXT(subject.Result()->outcome == row.outcome, row.name);
    CHECK_TEXT(subject.Result()->inForce == row.inForce, row.name);
    CHECK_TEXT(subject.Result()->version == kSeen + 1, row.name);
    LONGS_EQUAL_TEXT(row.timesApplied, made, row.name);
  }
}

TEST(apply, the_first_configuration)
{
  simulation subject(Request(0), 0);
  subject.Do(step::kRespond);
  subject.Do(step::kRespond);
  CHECK(subject.Result()->outcome == apply_outcome::kApplied);
  CHECK(subject.Result()->version == 1);
}

TEST(apply, asked_again_under_the_same_name_is_made_once)
{
  apply_request request = Request();
  request.askedBefore = true;
  applier subject(request, kStart);
  const configuration_record mine{ 4, kChange, "d", "", "", {} };
  subject.ConfigurationRead(
    {}, entry{ PrintConfigurationRecord(mine), 9 }, kStart);
  CHECK(subject.Result()->outcome == apply_outcome::kApplied);
}

TEST(apply, asked_again_without_an_answer_stays_unknown)
{
  apply_request request = Request();
  request.askedBefore = true;
  applier subject(request, kStart);
  subject.Tick(kStart + kLongWait);
  CHECK(subject.Result()->outcome == apply_outcome::kUnknown);
}

TEST(apply, too_large_is_not_written)
{
  apply_request request = Request();
  request.declaration.assign(currantshed::store::kMaxValueBytes, 'x');
  simulation subject(request, kSeen);
  subject.Do(step::kRespond);
  CHECK(subject.Result()->outcome == apply_outcome::kTooLarge);
}

TEST(apply, a_platform_in_trouble_is_not_hurried)
{
  applier subject(Request(), kStart);
  CHECK(subject.TakeActions().size() == 1);
  subject.ConfigurationRead(errc::kRateLimited, {}, kStart);
  CHECK(subject.TakeActions().empty());
  CHECK(subject.NextTick() >= kStart + 100ms);
  subject.Tick(subject.NextTick());
  CHECK(subject.TakeActions().size() == 1);
}

/// For every sequence of steps up to a length, the reported outcome is
/// accurate, also with regard to writes that take effect afterwards.
TEST(apply, every_interleaving_is_reported_accurately)
{
  constexpr std::size_t kLength = 6;
  std::array<int, std::size(kAllowedCounts)> seen{};
  std::size_t sequences = 1;
  for (std::size_t at = 0; at < kLength; ++at) {
    sequences *= kAllSteps.size();
  }
  for (std::size_t sequence = 0; sequence < sequences; ++sequence) {
    simulation subject(Request(), kSeen);
    auto rest = sequence;
    for (std::size_t at = 0; at < kLength; ++at) {
      subject.Do(kAllSteps.at(rest % kAllSteps.size()));
      rest /= kAllSteps.size();
    }
    subject.End();
    const auto outcome = subject.Result()->outcome;
    CHECK_TEXT(IsAccurate(outcome, subject.TimesApplied()),
               std::to_string(sequence).c_str());
    ++seen.at(static_cast<std::size_t>(outcome));
  }
  const auto reached = std::count_if(
    seen.begin(), seen.end(), [](int aTimes) { return aTimes > 0; });
  LONGS_EQUAL(5, reached);
}
