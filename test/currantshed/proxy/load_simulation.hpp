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

/// A server that runs a limited number of statements at a time, queues some
/// more, and rejects the rest.
class model_server
{
public:
  model_server(timeline& aTime, std::mt19937& aRandom, unsigned aSlots);

  /// Runs work of this mean duration, then calls back; false when the queue is
  /// full.
  [[nodiscard]] bool Submit(std::chrono::microseconds aMean,
                            std::function<void()> aDone);

  /// Its process dies: its connections break, and new ones are refused.
  void Crash();
  void Restart() { isUp = true; }

  /// The VMs for which this holds can't reach it directly any more.
  void CutOff(std::function<bool(std::size_t)> aIsCutOff);

  [[nodiscard]] bool CanReach(std::size_t aVm) const
  {
    return isUp && !(mIsCutOff && mIsCutOff(aVm));
  }

  /// Whether it rejects the next statement because it sheds load.
  [[nodiscard]] bool Sheds();

  /// Whether a query would find a free slot.
  [[nodiscard]] bool HasSlot() const { return mRunning < mSlots; }

  proxy::server listed;
  bool leads = false;
  bool reachable = true;
  /// Factor on the duration of its work.
  double slowdown = 1.0;
  /// Replication lag behind the primary.
  std::chrono::milliseconds lag{ 0 };
  unsigned maxWaiting = 24;
  /// Fraction of the statements that it rejects at once.
  double shedFraction = 0;
  std::uint64_t rejected = 0;
  std::uint64_t accepted = 0;
  /// Number of writes done, and their time from arrival to end.
  std::uint64_t writes = 0;
  clock::duration writeTime{ 0 };
  bool isUp = true;
  /// Connections that break when it crashes or is cut off, in their order.
  struct open_connection
  {
    std::size_t vm;
    std::function<void()> breakOff;
  };
  std::map<std::uint64_t, open_connection> open;
  std::uint64_t connections = 0;

private:
  struct work
  {
    std::chrono::microseconds time;
    std::function<void()> done;
  };

  void Run(work aWork);
  void BreakConnections();

  timeline& mTime;
  std::mt19937& mRandom;
  unsigned mSlots;
  unsigned mRunning = 0;
  std::function<bool(std::size_t)> mIsCutOff;
  std::deque<work> mWaiting;
};

/// Reads of one customer, on a route of their own.
struct load_stream
{
  std::string customer;
  /// Statements per second.
  double reads = 0;
  std::chrono::milliseconds target{ 250 };
  std::chrono::microseconds work{ 18000 };
  unsigned priority = 0;
};

/// The offered load, for all VMs together.
struct load_shape
{
  std::size_t vms = 6;
  unsigned slots = 3;
  /// Whether the servers are listed with their slots.
  bool reportsSlots = false;
  unsigned maxConnections = 22;
  /// Statements per second.
  double writes = 40;
  double reads = 200;
  std::chrono::milliseconds writeTarget{ 150 };
  std::chrono::milliseconds readTarget{ 250 };
  std::chrono::milliseconds timeout{ 800 };
  std::chrono::milliseconds staleness{ 2500 };
  std::chrono::microseconds writeWork{ 6000 };
  std::chrono::microseconds readWork{ 18000 };
  /// Maximum number of retries of a caller after rejections, and the delay
  /// before each.
  unsigned retries = 2;
  std::chrono::milliseconds backoff{ 50 };
  /// Beside the reads and writes above, which are then public.
  std::vector<load_stream> streams;
  /// Number of VMs, the first ones, whose relayed statements carry their class
  /// and deadline. The others are of an older build.
  std::size_t vmsWithAttributes = 0;
};

/// Outcomes of the requests that began in one second.
struct load_result
{
  unsigned requests = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  unsigned lost = 0;
  /// Rejections that callers got, and those within a quarter of the target.
  unsigned refusals = 0;
  unsigned promptRefusals = 0;
  /// The writes among the requests, and those answered in time.
  unsigned writes = 0;
  unsigned writesInTime = 0;

  load_result& operator+=(const load_result& aOther);
};

/// A discrete-event simulation of one group of servers, the engines of some VMs
/// and a stream of callers, in virtual time.
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
  /// Factor on the offered load.
  double factor = 1.0;
  /// Factors on the load of the streams.
  std::vector<double> streamFactors;
  /// Whether the primary is confirmed periodically.
  bool confirmations = true;

  /// The VM that most links of others go through.
  [[nodiscard]] std::size_t BusiestHolder() const;
  /// Kills a VM: its links break. The others learn from the list of VMs a
  /// second later.
  void Kill(std::size_t aVm);

  /// Advances the virtual time.
  void Run(std::chrono::milliseconds aDuration);
  /// Sum over the seconds from aFrom up to, but not including, aTo.
  [[nodiscard]] load_result Between(std::size_t aFrom, std::size_t aTo) const;
  /// The same of one stream.
  [[nodiscard]] load_result BetweenOf(std::size_t aStream,
                                      std::size_t aFrom,
                                      std::size_t aTo) const;
  /// Statements that servers accepted, and those that they rejected.
  [[nodiscard]] std::uint64_t Accepted() const;
  [[nodiscard]] std::uint64_t Rejected() const;
  /// How often an engine retried a request on another server after a rejection.
  [[nodiscard]] std::uint64_t RetriedElsewhere() const noexcept
  {
    return mRetriedElsewhere;
  }

private:
  class vm;
  class link;
  class caller;

  [[nodiscard]] model_server* Find(const std::string& aServer);
  [[nodiscard]] position::log_position At(const model_server& aServer) const;
  void ScheduleTick(std::size_t aVm);
  void ConfirmPrimary();
  void ScheduleRequest(bool aWrites);
  void ScheduleOfStream(std::size_t aStream);
  void RemoveFinished();
  [[nodiscard]] std::size_t Second() const;

  load_shape mShape;
  std::vector<proxy::fleet_vm> mFleet;
  timeline mTime;
  std::mt19937 mRandom;
  clock::time_point mStart;
  std::vector<std::unique_ptr<model_server>> mServers;
  // Write time of each record.
  std::vector<clock::time_point> mLog;
  std::vector<std::unique_ptr<vm>> mVms;
  std::map<std::uint64_t, std::unique_ptr<caller>> mCallers;
  std::vector<std::uint64_t> mFinished;
  std::uint64_t mLastCaller = 0;
  std::uint64_t mRetriedElsewhere = 0;
  std::vector<load_result> mResults;
  std::vector<std::vector<load_result>> mStreamResults;
  bool mIsEnding = false;
};

} // namespace currantshed::test

#endif
