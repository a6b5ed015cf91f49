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

/// Events in virtual time, in the order of their times.
class timeline
{
public:
  [[nodiscard]] clock::time_point Now() const { return mNow; }
  void At(clock::time_point aTime, std::function<void()> aWhat);
  void After(clock::duration aSpan, std::function<void()> aWhat)
  {
    At(mNow + aSpan, std::move(aWhat));
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

/// How likely things go wrong, as parts of a thousand statements.
struct fault_rates
{
  unsigned busy = 0;
  unsigned lostAnswer = 0;
  unsigned brokenConnection = 0;
  unsigned refusedConnection = 0;
};

/// What a caller was told of one change.
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
  /// Runs that were committed.
  unsigned committed = 0;
};

/// A caller's request as the world knows it, to check what servers see.
struct issued_request
{
  std::uint64_t caller = 0;
  proxy::session_values values;
  /// For executions: the shape that the caller prepared.
  std::string shape;
  std::uint64_t transaction = 0;
  clock::time_point sentAt;
  /// The newest record that a read must see, and the term at that time.
  std::uint64_t mustSee = 0;
  position::term_id mustSeeTerm = 0;
};

class fake_link;

/// One group of servers: a primary whose log the others follow with a lag.
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

    /// Whether the record at the position is in the log and applied.
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
  /// When the last proof of the primary was asked for.
  clock::time_point confirmedAt;
  bool confirmations = true;
};

/// Servers, the engines of some VMs, and callers, in virtual time. Checks at
/// the servers what must hold for every statement.
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

  /// What is wrong, a line each.
  std::vector<std::string> violations;
  std::map<std::string, change_outcome> outcomes;
  std::map<std::string, issued_request> known;
  /// Commits acknowledged so far, by the time at which that was.
  std::vector<std::pair<clock::time_point, std::uint64_t>> acknowledged;
  /// Records that each promotion kept, by the term that it began.
  std::map<position::term_id, std::uint64_t> promotionBases;
  std::uint64_t answers = 0;
  std::uint64_t successes = 0;

  /// What is left of a count of records of that term after the promotions
  /// since.
  [[nodiscard]] std::uint64_t Kept(std::uint64_t aCount,
                                   position::term_id aTerm) const;

  /// Whether the engines are being taken down.
  [[nodiscard]] bool IsEnding() const { return mIsEnding; }

  void AddViolation(const std::string& aWhat) { violations.push_back(aWhat); }

  /// Makes the primary fail, and promotes another server once no proof of it
  /// can hold any more.
  void FailPrimary();
  /// Lists the servers, fleets and routes to every engine.
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
