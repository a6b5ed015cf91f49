#ifndef CURRANTSHED_TEST_MATRIX_POOLER_NODE_HPP
#define CURRANTSHED_TEST_MATRIX_POOLER_NODE_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/gateway/engine.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/pooler/latest_configuration.hpp"
#include "test/matrix/process.hpp"
#include "test/matrix/steps.hpp"
#include "test/matrix/surroundings.hpp"

namespace currantshed::matrix {

/// A simulated pooler: runs the real engines for one group and replaces their
/// I/O adapters by fakes.
class pooler_node final : public process
{
public:
  /// Delivers an answer and the pooler's incarnation to a gateway.
  using answer_to =
    std::function<void(const group::answer&, const std::string&)>;

  pooler_node(surroundings& aAround, std::string aVm, std::string aDomain);

  /// Sets the other poolers of the group.
  void SetPeers(std::vector<pooler_node*> aPeers);

  /// Sets the pooler's rank among the live owners, and the group as the
  /// platform lists it.
  void Describe(unsigned aRank, unsigned aOwners);

  /// Receives a request from a gateway.
  void Receive(const gateway::send_to_pooler& aMessage,
               const std::string& aGateway,
               const answer_to& aAnswer);
  void Receive(const gateway::cancel_at_pooler& aMessage,
               const std::string& aGateway);

  /// Starts a graceful shutdown: refuses new work and exits once the work in
  /// progress has ended.
  void Stop();

  /// Reports that a server died and all connections to it were closed.
  void ServerDied(const upstream::server_id& aServer);

  /// The configuration in effect at this pooler.
  [[nodiscard]] const wire::configuration& Configuration() const;

protected:
  void CreateEngines() override;
  void Ended() override;
  void Collect() override;
  void Tick() override;
  [[nodiscard]] clock::time_point NextTick() const override;

private:
  struct origin
  {
    std::string gateway;
    group::request_id id = 0;
    answer_to answer;
    /// Whether the request was accepted before the shutdown began.
    bool early = true;
  };

  struct connection
  {
    std::shared_ptr<server_session> session;
    bool open = false;
    std::uint64_t batch = 0;
    bool running = false;
  };

  /// A query to a server on its control connection, and the handler of its
  /// answer.
  struct server_query
  {
    upstream::server_id server;
    layer of = layer::kGroup;
    std::size_t alternative = 0;
    clock::duration timeout{ 0 };
    std::function<bool()> effect;
    std::function<void(const upstream::server_status*, clock::time_point)> done;
  };

  void Do(const group::open_connection& aAction, const fault_effect& aEffect);
  void Do(const group::close_connection& aAction, const fault_effect& aEffect);
  void Do(const group::run_batch& aAction, const fault_effect& aEffect);
  void Do(const group::request_status& aAction, const fault_effect& aEffect);
  void Do(const group::give_answer& aAction, const fault_effect& aEffect);
  void Do(const failover::probe& aAction, const fault_effect& aEffect);
  void Do(const failover::fence& aAction, const fault_effect& aEffect);
  void Do(const failover::promote& aAction, const fault_effect& aEffect);
  void Do(const failover::follow& aAction, const fault_effect& aEffect);
  void Do(const failover::read_record& aAction, const fault_effect& aEffect);
  void Do(const failover::swap_record& aAction, const fault_effect& aEffect);
  void Do(const failover::announce& aAction, const fault_effect& aEffect);
  void Do(const failover::report_suspicion& aAction,
          const fault_effect& aEffect);

  void Ask(const server_query& aQuery, const fault_effect& aEffect);
  /// Runs an event at a server once packets to it get through.
  void Deliver(const upstream::server_id& aServer,
               clock::duration aDelay,
               std::function<void()> aEvent);
  /// Runs an event here once packets from the server get through.
  void DeliverBack(const upstream::server_id& aServer,
                   clock::duration aDelay,
                   std::function<void()> aEvent);
  void Execute(group::connection_id aConnection,
               const group::run_batch& aBatch,
               const std::shared_ptr<server_session>& aSession);
  void Break(group::connection_id aConnection);
  void BreakLater(group::connection_id aConnection);
  void TearWith(group::connection_id aConnection, upstream::reply aReply);
  void Beat();
  void Hear(const pooler_node& aPeer);
  void ReadConfiguration();
  void ApplyIfNewer(const wire::configuration& aOffered);
  void WaitForEnd();
  [[nodiscard]] std::string Incarnation() const;
  void Configure();

  surroundings& mAround;
  std::string mDomain;
  std::vector<pooler_node*> mPeers;
  unsigned mRank = 0;
  unsigned mOwners = 1;
  std::unique_ptr<group::engine> mEngine;
  std::unique_ptr<failover::coordinator> mCoordinator;
  pooler::latest_configuration mKeeper;
  wire::configuration mLastSeen;
  std::map<group::request_id, origin> mOrigins;
  group::request_id mLastRequest = 0;
  std::map<group::connection_id, connection> mConnections;
  std::map<upstream::server_id, std::shared_ptr<server_session>> mShared;
  failover::suspicion mWord;
  failover::announce mNews;
  bool mStopping = false;
};

} // namespace currantshed::matrix

#endif
