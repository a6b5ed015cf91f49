#ifndef CURRANTSHED_POOLER_GROUP_MONITOR_HPP
#define CURRANTSHED_POOLER_GROUP_MONITOR_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>

#include "currantshed/failover/coordinator.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/pooler/failover_step_timer.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/primary_reachability.hpp"
#include "currantshed/pooler/server_channel.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::pooler {

/// Runs the failover coordinator of one owned group on the control thread.
/// Probes and commands use one control connection per server; the term record
/// is kept in the platform's store.
class group_monitor
{
public:
  /// Callbacks to the control thread.
  struct listener
  {
    std::function<void(const member::term_update&)> announced;
    std::function<void(const failover::suspicion&)> suspected;
    /// Reports whether only this pooler cannot reach the group's primary.
    std::function<void(const group::group_name&, bool)> cutOff;
  };

  /// References that the monitor uses; all must outlive it.
  struct dependencies
  {
    boost::asio::io_context& context;
    const pooler::settings& settings;
    store::client& platform;
    const upstream::dialect& dialect;
    pooler::metrics& metrics;
  };

  group_monitor(const dependencies& aDependencies,
                group::group_name aName,
                unsigned aRank,
                unsigned aOwners,
                listener aListener);
  group_monitor(const group_monitor&) = delete;
  group_monitor& operator=(const group_monitor&) = delete;
  ~group_monitor();

  void Configure(const group::description& aGroup,
                 unsigned aRank,
                 unsigned aOwners);

  /// Processes the suspicions and terms of this group in a heartbeat of another
  /// pooler.
  void OnHeartbeat(const member::heartbeat& aBeat);

  /// The latest term and primary, announced here or received from a peer.
  [[nodiscard]] const member::term_update& LatestTerm() const noexcept
  {
    return mLatestTerm;
  }

  [[nodiscard]] unsigned Rank() const noexcept { return mRank; }

private:
  using answered =
    std::function<void(const std::optional<upstream::server_status>&,
                       bool aAccepted,
                       clock::time_point aSentAt)>;

  void ExecuteActions();
  void Execute(const failover::probe& aAction);
  void Execute(const failover::fence& aAction);
  void Execute(const failover::promote& aAction);
  void Execute(const failover::follow& aAction);
  void Execute(const failover::read_record& aAction);
  void Execute(const failover::swap_record& aAction);
  void Execute(const failover::announce& aAction);
  void Execute(const failover::report_suspicion& aAction);
  void ObserveStep(const failover::action& aAction);
  void CheckReachability();
  void Query(const upstream::server_id& aServer,
             upstream::statement aQuery,
             std::chrono::milliseconds aTimeout,
             answered aDone);
  [[nodiscard]] const group::member* Find(
    const upstream::server_id& aServer) const;

  dependencies mDependencies;
  group::group_name mName;
  listener mListener;
  std::unique_ptr<failover::coordinator> mCoordinator;
  std::chrono::milliseconds mProbeTimeout;
  group::description mGroup;
  unsigned mRank;
  unsigned mOwners;
  member::term_update mLatestTerm;
  position::term_id mPromotedTerm = 0;
  failover_step_timer mStepTimer;
  primary_reachability mReachability;
  bool mIsCutOff = false;
  absl::flat_hash_map<upstream::server_id, std::unique_ptr<server_channel>>
    mChannels;
  bool mIsExecuting = false;
  net::tick_timer mTimer;
  /// Set to false on destruction, so that platform responses that arrive later
  /// are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::pooler

#endif
