#include "currantshed/load/runner.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "currantshed/load/activity.hpp"

namespace currantshed::load {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kHundred = 100;
/// Maximum pause of a session due to the retry delay in an answer.
constexpr milliseconds kMaxRetryPause{ 2000 };
constexpr milliseconds kPrepareRetryInterval{ 100 };
/// Maximum delay after which a scheduled activity of the open loop is still
/// started.
constexpr milliseconds kMaxStartDelay{ 100 };

/// Rethrows the exception of a coroutine, which would otherwise be lost, and so
/// ends the process.
void
Rethrow(const std::exception_ptr& aFault)
{
  if (aFault) {
    std::rethrow_exception(aFault);
  }
}

bool
ShouldContinue(caller& aCaller)
{
  const plan& plan = aCaller.Plan();
  const progress& counts = aCaller.Progress();
  const bool counted =
    plan.activities != 0 && counts.activities >= plan.activities;
  return !counts.stop && !counted && aCaller.Now() < plan.length;
}

void
CountActivity(caller& aCaller)
{
  ++aCaller.Progress().activities;
  ++aCaller.History().activities;
}

/// Pauses after an activity for the plan's pause or the retry delay of the
/// answer, whichever is longer.
asio::awaitable<void>
PauseAfter(caller& aCaller, milliseconds aRetryAfter)
{
  const milliseconds plain = aCaller.Plan().rest;
  const milliseconds asked = std::min(aRetryAfter, kMaxRetryPause);
  const milliseconds rest = std::max(plain, asked);
  if (rest.count() > 0) {
    co_await aCaller.Sleep(rest);
  }
}

/// The mix of activities of an ordinary session.
class activity_mix
{
public:
  activity& Pick(caller& aCaller)
  {
    const plan& plan = aCaller.Plan();
    const auto draw = aCaller.RandomBelow(kHundred);
    if (draw < plan.readPercent) {
      return *mRead;
    }
    if (draw < plan.readPercent + plan.transactionPercent) {
      return *mTransactions.at(aCaller.RandomBelow(mTransactions.size()));
    }
    return *mWrite;
  }

private:
  std::unique_ptr<activity> mRead = MakeReadActivity();
  std::unique_ptr<activity> mWrite = MakeWriteActivity();
  std::array<std::unique_ptr<activity>, 2> mTransactions{
    MakeTransactionActivity(false),
    MakeTransactionActivity(true)
  };
};

/// Runs a closed-loop session, which starts an activity when the previous one
/// has ended.
asio::awaitable<void>
RunClosedLoop(caller& aCaller)
{
  activity_mix activities;
  while (ShouldContinue(aCaller)) {
    const auto& groups = aCaller.Plan().groups;
    const std::string group = groups[aCaller.RandomBelow(groups.size())];
    aCaller.SwitchGateway();
    const answer reply = co_await activities.Pick(aCaller).Run(aCaller, group);
    CountActivity(aCaller);
    co_await PauseAfter(aCaller, reply.retryAfter);
  }
}

/// Runs an open-loop session, which starts activities on a fixed schedule. The
/// latency of an activity that starts late is measured from its scheduled time;
/// activities that would start too late are skipped and counted, so that
/// latencies reflect the system and not a backlog in this program.
asio::awaitable<void>
RunOpenLoop(caller& aCaller)
{
  activity_mix activities;
  const double each = aCaller.Plan().sessions / aCaller.Plan().rate;
  const auto interval =
    std::chrono::duration_cast<run_offset>(std::chrono::duration<double>(each));
  run_offset next{ aCaller.RandomBelow(
    static_cast<std::uint64_t>(interval.count())) };
  while (ShouldContinue(aCaller)) {
    if (aCaller.Now() > next + kMaxStartDelay) {
      ++aCaller.History().missedStarts;
      next += interval;
      continue;
    }
    if (next > aCaller.Now()) {
      co_await aCaller.Sleep(next - aCaller.Now());
    }
    const auto& groups = aCaller.Plan().groups;
    const std::string group = groups[aCaller.RandomBelow(groups.size())];
    aCaller.SwitchGateway();
    aCaller.SetIntendedStart(next);
    (void)co_await activities.Pick(aCaller).Run(aCaller, group);
    CountActivity(aCaller);
    next += interval;
  }
}

/// Runs the single session that increments a group's counter row.
asio::awaitable<void>
RunCounterSession(caller& aCaller, std::string aGroup)
{
  const auto activity = MakeCounterActivity();
  while (ShouldContinue(aCaller)) {
    const answer reply = co_await activity->Run(aCaller, aGroup);
    co_await aCaller.Sleep(
      std::max(aCaller.Plan().clockInterval, reply.retryAfter));
  }
}

asio::awaitable<void>
RunSetup(caller& aCaller, std::string aGroup, milliseconds aTimeout)
{
  const auto activity = MakeSetupActivity();
  while (aCaller.Now() < aTimeout) {
    const answer reply = co_await activity->Run(aCaller, aGroup);
    if (reply.outcome == change_outcome::kDone) {
      ++aCaller.Progress().activities;
      co_return;
    }
    aCaller.SwitchGateway();
    co_await aCaller.Sleep(kPrepareRetryInterval);
  }
}

} // namespace

struct runner::worker
{
  asio::io_context context{ 1 };
  history seen;
  std::vector<std::unique_ptr<caller>> callers;
  std::thread thread;
  std::atomic<bool> ended{ false };

  caller& Add(const plan& aPlan,
              clock::time_point aOrigin,
              std::uint64_t aSeed,
              progress& aProgress)
  {
    callers.push_back(std::make_unique<caller>(
      context, aPlan, aOrigin, aSeed, seen, aProgress));
    return *callers.back();
  }

  void Run()
  {
    thread = std::thread([this] {
      context.run();
      ended = true;
    });
  }
};

runner::runner(plan aPlan)
  : mPlan(std::move(aPlan))
  , mOrigin(std::chrono::steady_clock::now())
{
}

runner::~runner()
{
  Stop();
  for (const auto& each : mWorkers) {
    if (each->thread.joinable()) {
      each->thread.join();
    }
  }
}

bool
runner::Prepare(milliseconds aTimeout)
{
  worker single;
  progress counts;
  std::uint64_t seed = mPlan.seed;
  const auto origin = std::chrono::steady_clock::now();
  for (const std::string& group : mPlan.groups) {
    caller& each = single.Add(mPlan, origin, seed++, counts);
    asio::co_spawn(single.context, RunSetup(each, group, aTimeout), Rethrow);
  }
  single.context.run();
  return counts.activities == mPlan.groups.size();
}

void
runner::Start()
{
  mOrigin = std::chrono::steady_clock::now();
  for (unsigned i = 0; i < mPlan.threads; ++i) {
    mWorkers.push_back(std::make_unique<worker>());
  }
  std::uint64_t seed = mPlan.seed * kHundred * kHundred;
  for (unsigned i = 0; i < mPlan.sessions; ++i) {
    worker& home = *mWorkers[i % mWorkers.size()];
    caller& each = home.Add(mPlan, mOrigin, seed++, mProgress);
    asio::co_spawn(home.context,
                   mPlan.rate > 0 ? RunOpenLoop(each) : RunClosedLoop(each),
                   Rethrow);
  }
  for (std::size_t i = 0; i < mPlan.groups.size(); ++i) {
    worker& home = *mWorkers[i % mWorkers.size()];
    caller& each = home.Add(mPlan, mOrigin, seed++, mProgress);
    asio::co_spawn(
      home.context, RunCounterSession(each, mPlan.groups[i]), Rethrow);
  }
  for (const auto& each : mWorkers) {
    each->Run();
  }
}

void
runner::Stop()
{
  mProgress.stop = true;
}

history
runner::Finish()
{
  history all;
  for (const auto& each : mWorkers) {
    each->thread.join();
    Append(all, std::move(each->seen));
  }
  return all;
}

bool
runner::Ended() const
{
  return std::all_of(mWorkers.begin(), mWorkers.end(), [](const auto& aWorker) {
    return aWorker->ended.load();
  });
}

run_offset
runner::Now() const
{
  return std::chrono::duration_cast<run_offset>(
    std::chrono::steady_clock::now() - mOrigin);
}

const progress&
runner::Progress() const noexcept
{
  return mProgress;
}

} // namespace currantshed::load
