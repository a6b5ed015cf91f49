#ifndef CURRANTSHED_TEST_FAILOVER_CLUSTER_SIMULATION_HPP
#define CURRANTSHED_TEST_FAILOVER_CLUSTER_SIMULATION_HPP

#include <functional>
#include <memory>
#include <random>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/failover/fake_servers.hpp"
#include "currantshed/failover/fake_store.hpp"

namespace currantshed::failover::test {

/// Parameters of a simulation.
struct simulation_settings
{
  unsigned poolers = 3;
  unsigned servers = 3;
  /// Messages per thousand that are lost, in each direction, while faults last.
  unsigned lossPerMille = 0;
  /// Requests to servers per thousand that arrive a second time, up to three
  /// seconds later.
  unsigned repeatPerMille = 0;
  std::uint64_t seed = 1;
  /// Whether every pooler has rank zero.
  bool sameRank = false;
};

/// Coordinators of one group at several poolers, p0, p1 and so on, with fake
/// servers and a fake store, in virtual time. A writer at each pooler keeps
/// adding changes at every server that reports itself primary, and records
/// which of them a majority confirmed. Violations of the rules are collected as
/// text.
class cluster_simulation
{
public:
  explicit cluster_simulation(const simulation_settings& aSettings);

  /// Runs a function at the given time after the start.
  void At(std::chrono::milliseconds aTime, std::function<void()> aWhat);
  void Run(std::chrono::milliseconds aUntil);

  [[nodiscard]] std::chrono::milliseconds Now() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch());
  }

  void KillPooler(unsigned aPooler);
  void PausePooler(unsigned aPooler, std::chrono::milliseconds aFor);
  /// Disconnects a pooler or server from all others, or reconnects it.
  void Isolate(const std::string& aName, bool aCut);
  /// Stops the loss and repetition of messages.
  void EndLosses()
  {
    mSettings.lossPerMille = 0;
    mSettings.repeatPerMille = 0;
  }
  void SetLeaving(const upstream::server_id& aServer);

  [[nodiscard]] fake_servers& Servers() { return mServers; }
  [[nodiscard]] fake_store& Store() { return mStore; }

  /// Checks that one primary leads all live servers and holds every confirmed
  /// change.
  void CheckSettled();

  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }
  /// Number of promotions that servers accepted.
  [[nodiscard]] std::size_t Promotions() const { return mPromoted.size(); }
  /// Time of the first change confirmed after the given time.
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmedAfter(
    std::chrono::milliseconds aTime) const;
  [[nodiscard]] std::size_t Confirmed() const { return mConfirmed.size(); }

private:
  struct pooler
  {
    std::string name;
    std::unique_ptr<coordinator> core;
    bool alive = true;
    clock::time_point pausedUntil;
    suspicion report;
    announce announced;
    std::uint64_t tickNumber = 0;
  };
  struct confirmed_change
  {
    fake_record record;
    clock::time_point at;
  };
  using server_call =
    std::function<std::pair<bool, upstream::server_status>(fake_server&)>;
  using server_answer =
    std::function<void(coordinator&, bool, const upstream::server_status&)>;

  void Push(clock::time_point aTime, std::function<void()> aWhat);
  void Deliver(std::size_t aPooler,
               const std::function<void(coordinator&)>& aWhat);
  void Drain(std::size_t aPooler);
  void Do(std::size_t aPooler, const action& aAction);
  void Call(std::size_t aPooler,
            const upstream::server_id& aServer,
            const server_call& aCall,
            const server_answer& aAnswer);
  void Repeat(const upstream::server_id& aServer, const server_call& aCall);
  void DoPromote(std::size_t aPooler, const promote& aWhat);
  void DoRead(std::size_t aPooler);
  void DoSwap(std::size_t aPooler, const swap_record& aWhat);
  void SendHeartbeat(std::size_t aPooler);
  void Write();
  void RecordPromotion(const promote& aWhat);
  [[nodiscard]] bool IsLeaving(const upstream::server_id& aServer) const;
  [[nodiscard]] bool Lost();
  [[nodiscard]] clock::duration Delay();
  [[nodiscard]] coordinator_settings SettingsOf(unsigned aPooler) const;

  simulation_settings mSettings;
  std::mt19937_64 mGenerator;
  fake_servers mServers;
  fake_store mStore;
  group::description mGroup;
  std::vector<pooler> mPoolers;
  clock::time_point mNow;
  std::uint64_t mNumber = 0;
  std::map<std::pair<clock::time_point, std::uint64_t>, std::function<void()>>
    mEvents;
  std::uint64_t mChange = 0;
  std::map<position::term_id, upstream::server_id> mPromoted;
  std::map<position::term_id, unsigned> mPromoteSent;
  std::vector<fake_record> mWaiting;
  std::vector<confirmed_change> mConfirmed;
  std::vector<std::string> mViolations;
};

} // namespace currantshed::failover::test

#endif
