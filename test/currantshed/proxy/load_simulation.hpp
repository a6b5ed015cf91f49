#ifndef CURRANTSHED_TEST_PROXY_LOAD_SIMULATION_HPP
#define CURRANTSHED_TEST_PROXY_LOAD_SIMULATION_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "currantshed/proxy/engine.hpp"
#include "test/currantshed/proxy/simulated_cluster.hpp"

namespace currantshed::test {

/// A server that runs so many statements at a time, lets some more wait, and
/// turns the rest away.
class model_server
{
public:
  model_server(timeline& aTime, std::mt19937& aRandom, unsigned aSlots);

  /// Runs work of that mean length, then calls back; false when it is full.
  [[nodiscard]] bool Take(std::chrono::microseconds aMean,
                          std::function<void()> aDone);

  /// Whether a question would find a slot free.
  [[nodiscard]] bool HasSlot() const { return mRunning < mSlots; }

  proxy::server listed;
  bool leads = false;
  bool reachable = true;
  /// How much longer than usual its work takes.
  double slow = 1.0;
  /// How far behind the primary it applies what was written.
  std::chrono::milliseconds lag{ 0 };
  unsigned maxWaiting = 24;
  std::uint64_t turnedAway = 0;
  std::uint64_t taken = 0;

private:
  struct work
  {
    std::chrono::microseconds time;
    std::function<void()> done;
  };

  void Run(work aWork);

  timeline& mTime;
  std::mt19937& mRandom;
  unsigned mSlots;
  unsigned mRunning = 0;
  std::deque<work> mWaiting;
};

/// What callers ask for, all VMs together.
struct load_shape
{
  std::size_t vms = 6;
  unsigned slots = 3;
  unsigned maxConnections = 22;
  /// Statements a second.
  double writes = 40;
  double reads = 200;
  std::chrono::milliseconds writeTarget{ 150 };
  std::chrono::milliseconds readTarget{ 250 };
  std::chrono::milliseconds timeout{ 800 };
  std::chrono::milliseconds staleness{ 2500 };
  std::chrono::microseconds writeWork{ 6000 };
  std::chrono::microseconds readWork{ 18000 };
  /// How often, and how soon, a caller comes back after a refusal.
  unsigned retries = 2;
  std::chrono::milliseconds backoff{ 50 };
};

/// How requests that began in one second ended.
struct load_result
{
  unsigned asked = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  unsigned lost = 0;
  /// Refusals that callers were given, and those given within a quarter of
  /// the target.
  unsigned refusals = 0;
  unsigned promptRefusals = 0;

  load_result& operator+=(const load_result& aOther);
};

/// One group of servers, the engines of some VMs and a stream of callers, in
/// virtual time.
class load_simulation
{
public:
  load_simulation(const load_shape& aShape, std::uint32_t aSeed);
  ~load_simulation();
  load_simulation(const load_simulation&) = delete;
  load_simulation& operator=(const load_simulation&) = delete;

  [[nodiscard]] timeline& Time() { return mTime; }
  [[nodiscard]] model_server& Server(std::size_t aNumber)
  {
    return *mServers[aNumber];
  }
  /// How much the callers ask for, against the shape.
  double factor = 1.0;
  /// Whether somebody proves the primary all the while.
  bool confirmations = true;

  /// Lets so much time pass.
  void Run(std::chrono::milliseconds aSpan);
  /// The sum over the seconds from one to before the other.
  [[nodiscard]] load_result Between(std::size_t aFrom, std::size_t aTo) const;
  /// Statements that servers were sent, and those that they turned away.
  [[nodiscard]] std::uint64_t Taken() const;
  [[nodiscard]] std::uint64_t TurnedAway() const;
  /// How often an engine sent a request on after it had been turned away.
  [[nodiscard]] std::uint64_t SentElsewhere() const noexcept
  {
    return mSentElsewhere;
  }

private:
  class vm;
  class link;
  class caller;

  [[nodiscard]] model_server* Find(const std::string& aServer);
  [[nodiscard]] position::log_position At(const model_server& aServer) const;
  void ScheduleTick(std::size_t aVm);
  void ConfirmPrimary();
  void Ask(bool aWrites);
  void Reap();
  [[nodiscard]] std::size_t Second() const;

  load_shape mShape;
  timeline mTime;
  std::mt19937 mRandom;
  clock::time_point mStart;
  std::vector<std::unique_ptr<model_server>> mServers;
  // When each record was written.
  std::vector<clock::time_point> mLog;
  std::vector<std::unique_ptr<vm>> mVms;
  std::map<std::uint64_t, std::unique_ptr<caller>> mCallers;
  std::vector<std::uint64_t> mDone;
  std::uint64_t mLastCaller = 0;
  std::uint64_t mSentElsewhere = 0;
  std::vector<load_result> mResults;
  bool mIsEnding = false;
};

} // namespace currantshed::test

#endif
