#ifndef CURRANTSHED_TEST_PROXY_SIMULATED_CLUSTER_HPP
#define CURRANTSHED_TEST_PROXY_SIMULATED_CLUSTER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::test {

/// Discrete-event queue in virtual time.
class timeline
{
public:
  [[nodiscard]] clock::time_point Now() const { return mNow; }
  void At(clock::time_point aTime, std::function<void()> aWhat);
  void After(clock::duration aDuration, std::function<void()> aWhat)
  {
    At(mNow + aDuration, std::move(aWhat));
  }
  void RunUntil(clock::time_point aEnd);

private:
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

  std::priority_queue<event> mEvents;
  std::uint64_t mLast = 0;
  clock::time_point mNow{ std::chrono::hours{ 1 } };
};

/// Fault rates, per thousand commands.
struct fault_rates
{
  unsigned busy = 0;
  unsigned lostAnswer = 0;
  unsigned brokenConnection = 0;
  unsigned refusedConnection = 0;
};

/// What a caller was told about one change, and whether it took effect.
struct change_outcome
{
  enum class reported
  {
    kNothing,
    kAcknowledged,
    kNotRun,
    kUnknown,
  };

  reported what = reported::kNothing;
  /// How often the change was committed.
  unsigned committed = 0;
};

/// Expected state of a caller's request, checked against what servers receive.
struct issued_request
{
  std::uint64_t caller = 0;
  proxy::session_values values;
  /// For executions: the text that the caller prepared.
  std::string shape;
  std::uint64_t transaction = 0;
  clock::time_point sentAt;
  /// Number of records that a read must see, and the term at that time.
  std::uint64_t requiredIndex = 0;
  position::term_id requiredTerm = 0;
};

class fake_link;

/// One group of servers: a primary, and replicas that follow its log with a
/// lag.
class fake_group
{
public:
  struct server
  {
    proxy::server listed;
    bool up = true;
    bool leads = false;
    /// The term of each record received.
    std::vector<position::term_id> log;
    std::uint64_t applied = 0;
    std::set<fake_link*> links;

    [[nodiscard]] position::log_position At() const
    {
      return { applied == 0 ? 1 : log[applied - 1], applied };
    }

    /// Whether the record at the position is applied.
    [[nodiscard]] bool Has(const position::log_position& aPosition) const
    {
      return aPosition.index == 0 ||
             (aPosition.index <= applied &&
              log[aPosition.index - 1] == aPosition.term);
    }
  };

  std::string service;
  std::map<std::string, server> servers;
  position::term_id term = 1;
  std::string primary;
  /// When the last confirmation of the primary was requested.
  clock::time_point confirmedAt;
  bool confirmations = true;
};

/// Simulates servers, the engines of some VMs and callers in virtual time. The
/// servers check the session guarantees for every statement.
class simulated_cluster
{
public:
  simulated_cluster(std::uint32_t aSeed,
                    const fault_rates& aRates,
                    std::size_t aVms);
  ~simulated_cluster();
  simulated_cluster(const simulated_cluster&) = delete;
  simulated_cluster& operator=(const simulated_cluster&) = delete;

  [[nodiscard]] timeline& Time() { return mTime; }
  [[nodiscard]] proxy::engine& Engine(std::size_t aVm);
  [[nodiscard]] fake_group& Group() { return mGroup; }
  [[nodiscard]] std::mt19937& Random() { return mRandom; }
  [[nodiscard]] bool Chance(unsigned aOfThousand);

  /// Violated guarantees, one text each.
  std::vector<std::string> violations;
  std::map<std::string, change_outcome> outcomes;
  std::map<std::string, issued_request> issuedRequests;
  /// Acknowledged commits, with their times.
  std::vector<std::pair<clock::time_point, std::uint64_t>> acknowledged;
  /// Number of records kept by each promotion, by the term that it began.
  std::map<position::term_id, std::uint64_t> promotionBases;
  std::uint64_t answers = 0;
  std::uint64_t successes = 0;

  /// How many of the first aCount records of the term remain after later
  /// promotions.
  [[nodiscard]] std::uint64_t Retained(std::uint64_t aCount,
                                       position::term_id aTerm) const;

  /// Whether the engines are being destroyed.
  [[nodiscard]] bool IsEnding() const { return mIsEnding; }

  void AddViolation(const std::string& aWhat) { violations.push_back(aWhat); }

  /// Fails the primary, and promotes another server once no confirmation of it
  /// can be valid any more.
  void FailPrimary();
  /// Sets the servers, the fleet and the routes on every engine.
  void Configure(unsigned aMaxConnections);
  void Replicate();
  void ConfirmPrimary();
  void ScheduleTick(std::size_t aVm);

  [[nodiscard]] fake_group::server* Find(const std::string& aServer);
  [[nodiscard]] const fault_rates& Rates() const { return mRates; }

private:
  class vm;

  timeline mTime;
  std::mt19937 mRandom;
  fault_rates mRates;
  fake_group mGroup;
  bool mIsEnding = false;
  std::vector<std::unique_ptr<vm>> mVms;
};

} // namespace currantshed::test

#endif
