#ifndef CURRANTSHED_NODE_CONTROL_HPP
#define CURRANTSHED_NODE_CONTROL_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/customer/directory.hpp"
#include "currantshed/customer/freshness.hpp"
#include "currantshed/customer/partition.hpp"
#include "currantshed/customer/token_accrual.hpp"
#include "currantshed/customer/token_buckets.hpp"
#include "currantshed/lead/group_monitor.hpp"
#include "currantshed/net/tick_timer.hpp"
#include "currantshed/news/exchange.hpp"
#include "currantshed/node/cluster_state.hpp"
#include "currantshed/node/document_codec.hpp"
#include "currantshed/node/failover_orders.hpp"
#include "currantshed/node/forwarding_batch.hpp"
#include "currantshed/node/freshness_check_schedule.hpp"
#include "currantshed/node/group_scheduler.hpp"
#include "currantshed/node/internal/forwarding_timeouts.hpp"
#include "currantshed/node/lock_assignments.hpp"
#include "currantshed/node/metrics.hpp"
#include "currantshed/node/peer_selection.hpp"
#include "currantshed/node/request_throttle.hpp"
#include "currantshed/node/server_list.hpp"
#include "currantshed/node/settings.hpp"
#include "currantshed/node/snapshot_chunks.hpp"
#include "currantshed/node/subscribers.hpp"
#include "currantshed/node/token_client.hpp"
#include "currantshed/node/traffic.hpp"
#include "currantshed/node/vm_membership.hpp"
#include "currantshed/store/era_guard.hpp"
#include "currantshed/store/prefix_view.hpp"
#include "currantshed/store/registration.hpp"

namespace currantshed::node {

/// The interfaces by which the control thread uses the platform; created on its
/// io_context.
struct platform_access
{
  std::unique_ptr<store::key_value> store;
  std::unique_ptr<promoter> promotion;
};

using platform_factory =
  std::function<platform_access(boost::asio::io_context&)>;

/// The control thread: follows the store, exchanges messages with the other VMs
/// and controls the failover of each group. Passes on to the traffic thread
/// what it needs.
class control
{
public:
  control(const node_settings& aSettings,
          const lead::monitor_settings& aLead,
          const document_codec& aDocuments,
          const platform_factory& aFactory,
          traffic& aTraffic,
          metrics& aMetrics);
  ~control();
  control(const control&) = delete;
  control& operator=(const control&) = delete;

  /// Listens for messages of other VMs and starts the thread.
  [[nodiscard]] std::error_code Start();

  /// Announces to the other VMs that this one is shutting down, and stops
  /// taking callers. May be called on any thread.
  void BeginShutdown();

  /// Removes this VM's registration from the store and ends the thread.
  void Stop();

  /// Whether the VM takes callers. May be called on any thread.
  [[nodiscard]] bool IsReady() const noexcept { return mIsReady; }

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

private:
  struct group
  {
    explicit group(const lead::monitor_settings& aSettings)
      : monitor(aSettings)
    {
    }

    lead::group_monitor monitor;
    /// This VM's rank, from 0 to below 1, among those that ask for
    /// confirmations of a group that no VM monitors.
    double queryRank = 0;
    bool isClaimPending = false;
    clock::time_point nextClaimAt{};
    /// This VM has obtained a confirmation itself and sends it to others,
    /// although it does not monitor the group.
    bool hasOwnConfirmation = false;
    /// The next watch update must go to all subscribers, because the primary
    /// has changed or a term was revoked.
    bool isForAllSubscribers = false;
    /// When this VM, which monitors the group, last asked other VMs whether
    /// they reach the primary.
    clock::time_point reachQueriedAt{};
    /// Until when the VM that monitors the group wants reach updates, and the
    /// most recent reach update of this VM's subscribers.
    clock::time_point reachWantedUntil{};
    forwarded_reach_update latestReach;
    position::term_id announcedTerm = 0;
    /// Positions of the primary that were announced most recently, oldest
    /// first. They are sent to VMs that begin to use the group, whose reads may
    /// be as stale as these positions.
    std::deque<proxy::position_sample> recentSamples;
  };

  using groups = absl::btree_map<std::string, std::unique_ptr<group>>;

  void OnStoreRecovered(clock::time_point aNow);
  void ConfigurationChanged();
  void ServersChanged(clock::time_point aNow);
  [[nodiscard]] std::vector<proxy::server> ReadServers();
  void LogUnusableEntry(const std::string& aKey,
                        store::revision aChanged,
                        std::error_code aError);
  void ReadEntry(const std::string& aKey, const store::item& aItem);
  void LogServerChanges(const std::vector<server_change>& aMessage,
                        list_source aSource) const;
  void ConfigureGroups(const absl::flat_hash_set<std::string>& aServices,
                       clock::time_point aNow);
  void ServicesChanged(const proxy::configuration& aConfiguration);
  void ClusterStateChanged(clock::time_point aNow);
  void FleetChanged(clock::time_point aNow);
  void UpdateLockAssignments(const cluster_changes& aChanges);
  void OnFirstListed(clock::time_point aNow);
  void LogStoreReachability(const std::string& aWhat,
                            bool aIsReached,
                            std::error_code aWhy);
  [[nodiscard]] store::prefix_view::listener MakeViewListener(
    const std::string& aWhat,
    std::function<void(clock::time_point)> aChanged);
  void OnEraBegan(std::optional<store::era_id> aBefore, store::era_id aNow);
  void LogViewCall(const std::string& aWhat, store::call_reason aReason);
  void LogStaleRead(const std::string& aWhat,
                    store::revision aRead,
                    store::revision aSeen);
  void Tick();
  void TickStore(clock::time_point aNow);
  void PerformActions(clock::time_point aNow);
  void PerformActionsOf(const std::string& aService, group& aGroup);
  void Execute(const std::string& aService, const lead::send_command& aAction);
  void Execute(const std::string& aService,
               const lead::request_promotion& aAction);
  void Execute(const std::string& aService, const lead::record_terms& aAction);
  void Execute(const std::string& aService,
               const lead::read_replaced_term& aAction);
  void Execute(const std::string& aService, const lead::list_vms& aAction);
  void Execute(const std::string& aService,
               const lead::publish_confirmation& aAction);
  void Execute(const std::string& aService,
               const lead::publish_sample& aAction);
  void Execute(const std::string& aService,
               const lead::publish_revocation& aAction);
  void Execute(const std::string& aService, const lead::log_step& aAction);
  void RecordReplaced(const std::string& aService,
                      const upstream::server_id& aServer,
                      const failover_lock& aLock,
                      store::revision aChanged);
  void CommitLock(const std::string& aService,
                  const failover_lock& aLock,
                  store::revision aChanged,
                  std::function<void(store::commit_outcome)> aDone);
  void Promote(const std::string& aService,
               const upstream::server_id& aServer,
               std::uint64_t aEpoch,
               clock::time_point aCheckedAt);
  void PromotionNotOrdered(const std::string& aService,
                           const upstream::server_id& aServer,
                           std::string aReason);
  [[nodiscard]] bool IsOwnLock(const failover_lock& aLock) const;
  [[nodiscard]] std::chrono::milliseconds PromotionTimeLeft(
    const std::string& aService,
    const upstream::server_id& aServer,
    std::uint64_t aEpoch,
    clock::time_point aCheckedAt) const;
  void OnPromotionResult(const std::string& aService,
                         const upstream::server_id& aServer,
                         promotion_outcome aOutcome);
  void PromotionAnswered(const std::string& aService,
                         const upstream::server_id& aServer,
                         promotion_outcome aOutcome);
  void ReleaseLocks();
  void UpdateLock(const std::string& aService,
                  group& aGroup,
                  clock::time_point aNow);
  void ClaimLock(const std::string& aService,
                 group& aGroup,
                 clock::time_point aNow);
  void UpdateLocks(clock::time_point aNow);
  void SetMayConfirm();
  void SendWatchUpdates(clock::time_point aNow);
  void FillRevisions(news::News& aOut) const;
  void SendOwnConfirmations(const std::vector<std::string>& aPending,
                            clock::time_point aNow);
  void SendKnownConfirmations(const std::string& aVm, clock::time_point aNow);
  void SendReachUpdates(clock::time_point aNow);
  void SendReachUpdateTo(const std::string& aVm,
                         bool aAsks,
                         clock::time_point aNow);
  void OnServerContacts(const std::vector<proxy::server_contact>& aContacts);
  [[nodiscard]] std::vector<std::string> ReachUpdateGroups() const;
  void OnAnnouncement(const news::News& aMessage,
                      const news::exchange::clock_converter& aClock,
                      clock::time_point aNow);
  void UpdateReadiness(clock::time_point aNow);
  void UpdateCoordinators();
  [[nodiscard]] cluster_state StateWithRecordedVms() const;
  [[nodiscard]] std::size_t FleetSize() const;
  [[nodiscard]] bool EnforcesQuotas() const;
  void FillShares(const std::string& aVm,
                  news::News& aOut,
                  clock::time_point aNow);
  void SendShares(clock::time_point aNow);
  void ApplyShares(const news::News& aMessage, clock::time_point aNow);
  void TickQuotas(clock::time_point aNow);
  void RequestTokens(const std::string& aCustomer,
                     unsigned aCount,
                     clock::time_point aNow);
  [[nodiscard]] customer::token_grant GrantTokens(const std::string& aCustomer,
                                                  unsigned aCount,
                                                  clock::time_point aNow);
  void ExchangeTokens(clock::time_point aNow);
  void HandleTokenMessages(const news::News& aMessage,
                           const news::exchange::clock_converter& aClock,
                           clock::time_point aNow);
  void SetCheckRank();
  void TickFreshness(clock::time_point aNow);
  void ApplyVerification(clock::time_point aNow);
  void LogFreshness(bool aHolds, clock::time_point aNow);
  void SendVerification(clock::time_point aNow);
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const;
  [[nodiscard]] bool LacksVerification(clock::time_point aNow) const;
  [[nodiscard]] clock::time_point NextFreshnessCheck() const;
  void Schedule();
  [[nodiscard]] bool AreAllConfirmed(clock::time_point aNow) const;
  /// Finds the group and marks it, so that PerformActions carries out the
  /// actions that result from what its group_monitor is told.
  [[nodiscard]] group* MarkPending(const std::string& aService);
  [[nodiscard]] group* Find(const std::string& aService);
  [[nodiscard]] const group* Find(const std::string& aService) const;
  void UpdateMembership(clock::time_point aNow);
  void AddRecordedPeers(std::vector<news::peer>& aTo) const;
  void UpdateQueryStagger(clock::time_point aNow);
  void PublishFleet(clock::time_point aNow);
  void RecordFleet(clock::time_point aNow);
  void UpdateEra(clock::time_point aNow);
  void EndSettling(clock::time_point aNow);
  [[nodiscard]] bool IsUnlisted(clock::time_point aNow) const;
  [[nodiscard]] bool IsLongUnlisted(clock::time_point aNow) const;
  [[nodiscard]] std::chrono::milliseconds ReachInterval(
    clock::time_point aNow) const;
  [[nodiscard]] store::lease_times ShortLease() const;
  [[nodiscard]] store::lease_times LongLease() const;
  void UpdateForwardersOfAll();
  [[nodiscard]] std::vector<std::string> WatchUpdateRecipients(
    clock::time_point aNow) const;
  [[nodiscard]] bool SendsDirectReachUpdates(const std::string& aVm,
                                             clock::time_point aNow) const;
  [[nodiscard]] bool IsForwardedTo(clock::time_point aNow) const;
  [[nodiscard]] std::vector<std::string> ReachUpdateRecipients(
    clock::time_point aNow);
  [[nodiscard]] std::vector<std::string> AcknowledgementRecipients(
    const std::string& aService,
    clock::time_point aNow) const;
  [[nodiscard]] static lead::watch_update WatchUpdateOf(const group& aGroup);
  void ForwardWatchUpdates(clock::time_point aNow);
  void ApplyWatchUpdates(const news::News& aMessage,
                         const news::exchange::clock_converter& aClock,
                         clock::time_point aNow);
  void ApplyReachUpdate(const std::string& aFrom,
                        const std::string& aService,
                        const lead::reach_update& aReach,
                        clock::time_point aNow);
  void SendReachQueries(const std::vector<std::string>& aPending,
                        clock::time_point aNow);
  void AnswerReachQueries(const news::News& aMessage, clock::time_point aNow);
  void ForwardReachUpdates(clock::time_point aNow);
  [[nodiscard]] bool IsForwarder(const std::string& aVm) const;
  void EndForwarderDiscovery(bool aIsForwarder, clock::time_point aNow);
  void UpdateForwarders(clock::time_point aNow);
  [[nodiscard]] poll_plan PlanPoll(clock::time_point aNow) const;
  void PollForwarders(clock::time_point aNow);
  void UpdateGroupsInUse(clock::time_point aNow);
  void ConfirmationNeeded(const std::string& aService, clock::time_point aNow);
  void SendPoll(const std::string& aVm, clock::time_point aNow);
  void SendRecentUpdates(const std::string& aVm,
                         const std::vector<std::string>& aServices,
                         clock::time_point aNow);
  void AnswerPoll(const news::News& aMessage, clock::time_point aNow);
  void ApplyKeysUpdates(const news::News& aMessage,
                        const news::exchange::clock_converter& aClock,
                        clock::time_point aNow);
  void ApplyKeysUpdate(const std::string& aVm,
                       const news::KeysUpdate& aUpdate,
                       const news::exchange::clock_converter& aClock,
                       clock::time_point aNow);
  void FillUpdate(news::KeysUpdate& aOut,
                  std::size_t aPrefix,
                  const store::key_update& aUpdate);
  void BeginSnapshotTransfer(const std::string& aVm,
                             std::size_t aPrefix,
                             clock::time_point aNow);
  void RequestNextChunk(std::size_t aPrefix,
                        const std::string& aVm,
                        clock::time_point aNow);
  void AnswerChunkRequests(const news::News& aMessage, clock::time_point aNow);
  void ApplyChunks(const news::News& aMessage, clock::time_point aNow);
  void DelayFirstReads(bool aHasForwarders, clock::time_point aNow);
  void SendEmptyAnnouncement(const std::string& aVm, clock::time_point aNow);
  void PollIfNewer(const news::News& aMessage, clock::time_point aNow);
  void NotifySubscribers(clock::time_point aNow);
  /// The followed prefixes, in the order of their numbers in messages.
  [[nodiscard]] std::array<store::prefix_view*, 3> Views();
  void PauseViews();
  /// Whether the store answers this VM's calls, as far as is known.
  [[nodiscard]] bool ReachesStore() const;
  [[nodiscard]] std::vector<std::string> SelectFewVms(clock::time_point aNow);
  [[nodiscard]] std::vector<std::string> LockHolders() const;
  [[nodiscard]] std::vector<std::string> SelectLockHolders();
  [[nodiscard]] std::string LockHolderOf(const std::string& aService) const;
  /// The record of the group's failover lock, or null.
  [[nodiscard]] const failover_lock* LockOf(const std::string& aService) const;

  const node_settings& mSettings;
  lead::monitor_settings mMonitorSettings;
  const document_codec& mDocuments;
  traffic& mTraffic;
  metrics& mMetrics;
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  zmq::context_t mZmq;
  absl::BitGen mRandom;
  vm_record mSelf;
  platform_access mPlatform;
  store::era_guard mStore;
  store::prefix_view mConfigurationView;
  store::prefix_view mServersView;
  store::prefix_view mClusterView;
  store::registration mRegistration;
  news::exchange mExchange;
  cluster_state mClusterState;
  // Counts round-robin selections.
  std::size_t mRound;
  // The forwarders that this VM polls; empty if this VM follows the store
  // itself.
  std::vector<std::string> mForwarders;
  // The forwarders of this VM's failure domain, possibly including itself; the
  // failure domains that have forwarders; and the forwarders of all failure
  // domains.
  std::vector<std::string> mDomainForwarders;
  absl::flat_hash_set<std::string> mForwardedDomains;
  absl::flat_hash_set<std::string> mAllForwarders;
  forwarding_batch mForwardingBatch;
  // Groups that this VM monitors and has a newer watch update for.
  forwarding_batch mWatchBatch;
  // When a forwarder last forwarded watch updates to this VM.
  clock::time_point mForwardedAt{};
  request_throttle mPollThrottle;
  clock::time_point mNextPoll{};
  internal::forwarding_timeouts mForwardingTimeouts;
  // Splitters that send snapshots of the followed prefixes to other VMs, and
  // assemblers that receive them, in the order of the prefixes' numbers.
  std::array<snapshot_splitter, 3> mSplitters;
  std::array<snapshot_assembler, 3> mAssemblers;
  // The VMs that poll this one.
  subscribers mSubscribers;
  // The groups that callers of this VM use, and the time up to which the
  // traffic thread has reported them.
  groups_in_use mGroupsInUse;
  clock::time_point mGroupsInUseAt{};
  vm_membership mMembership;
  std::uint64_t mVersion = 0;
  // Revision of the configuration in force.
  store::revision mConfigurationRevision;
  // Age limit of the configuration, the schedule of this VM's freshness checks,
  // and the VMs that make such checks.
  customer::freshness mFreshness;
  freshness_check_schedule mCheckSchedule;
  std::vector<std::string> mCheckers;
  bool mWasFresh = false;
  // The customers in force; the tokens that this VM coordinates; its own share
  // of the rates, by partition; and the client that requests tokens.
  std::shared_ptr<const customer::directory> mCustomers;
  customer::token_buckets mTokenBuckets;
  std::array<customer::token_accrual, customer::kPartitions> mShares;
  token_client mTokenClient;
  clock::time_point mNextShare{};
  absl::btree_map<std::string, clock::time_point> mSharedAt;
  clock::time_point mNextSessionEnd{};
  server_list mServers;
  // Era of the list that was applied last.
  store::era_id mServersEra = 0;
  // Services of the configuration in force; empty before the first one.
  std::optional<absl::flat_hash_set<std::string>> mServices;
  // The valid entries, by key.
  absl::btree_map<std::string, proxy::server> mEntries;
  // Entries that cannot be used, and the revision of each.
  absl::btree_map<std::string, store::revision> mUnusableEntries;
  groups mGroups;
  group_scheduler mScheduler;
  lock_assignments mLocks;
  failover_orders mOrders;
  bool mMayConfirm = false;
  // By service, when the traffic thread last heard the primary.
  absl::btree_map<std::string, clock::time_point> mPrimaryHeardAt;
  clock::time_point mStartedAt;
  clock::time_point mListedAt{};
  clock::time_point mNextReachUpdate{};
  // Until that time, which is set at the first reading of the list, recorded
  // VMs count although they are not listed.
  std::optional<clock::time_point> mSettlesAt;
  bool mIsSettled = false;
  // Era of the cluster state, and the VMs that were known in the previous era,
  // until they have had time to register again.
  store::era_id mClusterEra = 0;
  std::vector<vm_record> mFormerVms;
  // The store was restored from an older snapshot since this process started.
  bool mWasRestored = false;
  // Whether the fleet record differs from the list; empty if either has changed
  // since the last comparison. And since when it has differed.
  std::optional<bool> mIsFleetStale;
  std::optional<clock::time_point> mFleetStaleSince;
  bool mIsDraining = false;
  // Whether the last renewal of this VM's lease failed.
  bool mIsStoreFailing = false;
  std::atomic<bool> mIsReady{ false };
  net::tick_timer mTicker;
  std::thread mThread;
};

} // namespace currantshed::node

#endif
