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
#include "currantshed/node/forwarding_batch.hpp"
#include "currantshed/node/freshness_check_schedule.hpp"
#include "currantshed/node/group_scheduler.hpp"
#include "currantshed/node/internal/forwarding_timeouts.hpp"
#include "currantshed/node/lock_assignments.hpp"
#include "currantshed/node/metrics.hpp"
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
  void Leave();

  /// Removes this VM's registration from the store and ends the thread.
  void Stop();

  /// Whether the VM takes callers. May be called on any thread.
  [[nodiscard]] bool IsReady() const noexcept { return mIsReady; }

  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

private:
  struct group
  {
    explicit group(const lead::monitor_settings& aSettings)
      : lead(aSettings)
    {
    }

    lead::group_monitor lead;
    /// This VM's rank, from 0 to below 1, among those that ask for
    /// confirmations of a group that no VM monitors.
    double place = 0;
    bool isClaiming = false;
    clock::time_point claimFrom{};
    /// This VM has obtained a confirmation itself and sends it to others,
    /// although it does not monitor the group.
    bool passesOn = false;
    /// The next watch update must go to all subscribers, because the primary
    /// has changed or a term was revoked.
    bool isForAll = false;
    /// When this VM, which monitors the group, last asked other VMs whether
    /// they reach the primary.
    clock::time_point doubtedAt{};
    /// Until when the VM that monitors the group wants reach updates, and the
    /// most recent reach update of this VM's subscribers.
    clock::time_point reachWantedUntil{};
    forwarded_reach_update freshest;
    position::term_id toldTerm = 0;
    /// Positions of the primary that were announced most recently, oldest
    /// first. They are sent to VMs that begin to use the group, whose reads may
    /// be as stale as these positions.
    std::deque<proxy::position_sample> recent;
  };

  using groups = absl::btree_map<std::string, std::unique_ptr<group>>;

  void ConfigurationChanged();
  void ServersChanged(clock::time_point aNow);
  [[nodiscard]] std::vector<proxy::server> ReadServers();
  void NoteUnusable(const std::string& aKey,
                    store::revision aChanged,
                    std::error_code aWhyNot);
  void ReadEntry(const std::string& aKey, const store::item& aItem);
  void NoteServers(const std::vector<server_change>& aNews,
                   list_source aSource) const;
  void ConfigureGroups(const absl::flat_hash_set<std::string>& aServices,
                       clock::time_point aNow);
  void ServicesChanged(const proxy::configuration& aConfiguration);
  void OwnKeysChanged(clock::time_point aNow);
  void FleetChanged(clock::time_point aNow);
  void NoteDuties(const cluster_changes& aChanges);
  void NoteListed(clock::time_point aNow);
  void NoteStore(const std::string& aWhat,
                 bool aIsReached,
                 std::error_code aWhy);
  [[nodiscard]] store::prefix_view::listener Listener(
    const std::string& aWhat,
    std::function<void(clock::time_point)> aChanged);
  void EraBegan(std::optional<store::era_id> aBefore, store::era_id aNow);
  void NoteIgnored(const std::string& aWhat,
                   store::revision aRead,
                   store::revision aSeen);
  void Tick();
  void TickStore(clock::time_point aNow);
  void Perform(clock::time_point aNow);
  void PerformOne(const std::string& aService, group& aGroup);
  void Do(const std::string& aService, const lead::send_command& aAction);
  void Do(const std::string& aService, const lead::request_promotion& aAction);
  void Do(const std::string& aService, const lead::read_replaced_term& aAction);
  void Do(const std::string& aService, const lead::list_vms& aAction);
  void Do(const std::string& aService,
          const lead::publish_confirmation& aAction);
  void Do(const std::string& aService, const lead::publish_sample& aAction);
  void Do(const std::string& aService, const lead::publish_revocation& aAction);
  void Do(const std::string& aService, const lead::log_step& aAction);
  void RecordReplaced(const std::string& aService,
                      const upstream::server_id& aServer,
                      failover_lock aDuty,
                      store::revision aChanged);
  void Promote(const std::string& aService,
               const upstream::server_id& aServer,
               std::uint64_t aEpoch);
  void NotOrdered(const std::string& aService,
                  const upstream::server_id& aServer,
                  std::string aReason,
                  clock::time_point aNow);
  [[nodiscard]] bool HoldsDutySince(const failover_lock& aDuty,
                                    clock::time_point aAsked) const;
  void PromotionEnded(const std::string& aService,
                      promotion_outcome aOutcome,
                      clock::time_point aNow);
  void KeepDuty(const std::string& aService,
                group& aGroup,
                clock::time_point aNow);
  void Claim(const std::string& aService,
             group& aGroup,
             clock::time_point aNow);
  void KeepDuties(clock::time_point aNow);
  void SetMayConfirm();
  void SendWatch(clock::time_point aNow);
  void FillChanges(news::News& aOut) const;
  void PassOn(const std::vector<std::string>& aTouched, clock::time_point aNow);
  void AnswerTo(const std::string& aVm, clock::time_point aNow);
  void SendReach(clock::time_point aNow);
  void SendReachTo(const std::string& aVm, bool aAsks, clock::time_point aNow);
  void HeardServers(const std::vector<proxy::server_contact>& aHeard);
  [[nodiscard]] std::vector<std::string> ToldGroups() const;
  void Received(const news::News& aNews,
                const news::exchange::clock_converter& aClock,
                clock::time_point aNow);
  void UpdateReadiness(clock::time_point aNow);
  void NoteCollectors();
  [[nodiscard]] cluster_state WithRecorded() const;
  [[nodiscard]] std::size_t FleetSize() const;
  [[nodiscard]] bool KeepsQuotas() const;
  void FillShares(const std::string& aVm,
                  news::News& aOut,
                  clock::time_point aNow);
  void ShareAll(clock::time_point aNow);
  void TakeShares(const news::News& aNews);
  void KeepQuotas(clock::time_point aNow);
  void WantTokens(const std::string& aCustomer,
                  unsigned aCount,
                  clock::time_point aNow);
  [[nodiscard]] customer::token_grant GrantTokens(const std::string& aCustomer,
                                                  unsigned aCount);
  void CarryTokens(clock::time_point aNow);
  void HeardOfTokens(const news::News& aNews,
                     const news::exchange::clock_converter& aClock,
                     clock::time_point aNow);
  void SetCheckPlace();
  void KeepFresh(clock::time_point aNow);
  void NoteProof(clock::time_point aNow);
  void NoteFreshness(bool aHolds, clock::time_point aNow);
  void SpreadProof(clock::time_point aNow);
  [[nodiscard]] bool IsCutOff(clock::time_point aNow) const;
  [[nodiscard]] bool LacksProof(clock::time_point aNow) const;
  [[nodiscard]] clock::time_point NextFreshness() const;
  void Schedule();
  [[nodiscard]] bool AreAllProved(clock::time_point aNow) const;
  /// Finds the group and marks it, so that Perform carries out the actions that
  /// result from what its group_monitor is told.
  [[nodiscard]] group* Touch(const std::string& aService);
  [[nodiscard]] group* Find(const std::string& aService);
  [[nodiscard]] const group* Find(const std::string& aService) const;
  void NoteVms(clock::time_point aNow);
  void AddRecordedPeers(std::vector<news::peer>& aTo) const;
  void SetPlaces(clock::time_point aNow);
  void TellFleet(clock::time_point aNow);
  void KeepFleet(clock::time_point aNow);
  void NoteEra(clock::time_point aNow);
  void EndSettling(clock::time_point aNow);
  [[nodiscard]] bool IsOffTheList(clock::time_point aNow) const;
  [[nodiscard]] bool IsLongOffTheList(clock::time_point aNow) const;
  [[nodiscard]] std::chrono::milliseconds ReachInterval(
    clock::time_point aNow) const;
  [[nodiscard]] store::lease_times ShortLease() const;
  [[nodiscard]] store::lease_times LongLease() const;
  void NoteDomains();
  [[nodiscard]] std::vector<std::string> Audience(clock::time_point aNow) const;
  [[nodiscard]] bool SendsDirectReachUpdates(const std::string& aVm,
                                             clock::time_point aNow) const;
  [[nodiscard]] bool IsRelayed(clock::time_point aNow) const;
  [[nodiscard]] std::vector<std::string> ReachAudience(clock::time_point aNow);
  [[nodiscard]] std::vector<std::string> ObedienceAudience(
    const std::string& aService,
    clock::time_point aNow) const;
  [[nodiscard]] static lead::watch_update WordOn(const group& aGroup);
  void PassWords(clock::time_point aNow);
  void TakeWatches(const news::News& aNews,
                   const news::exchange::clock_converter& aClock,
                   clock::time_point aNow);
  void TakeReach(const std::string& aFrom,
                 const std::string& aService,
                 const lead::reach_update& aReach,
                 clock::time_point aNow);
  void SendDoubts(const std::vector<std::string>& aTouched,
                  clock::time_point aNow);
  void HeardDoubts(const news::News& aNews, clock::time_point aNow);
  void PassReaches(clock::time_point aNow);
  [[nodiscard]] bool IsForwarder(const std::string& aVm) const;
  void EndForwarderDiscovery(bool aIsForwarder, clock::time_point aNow);
  void UpdateForwarders(clock::time_point aNow);
  void Poll(clock::time_point aNow);
  void AskUse(clock::time_point aNow);
  void ConfirmationNeeded(const std::string& aService, clock::time_point aNow);
  void SendWanted(const std::string& aVm, clock::time_point aNow);
  void SendRecent(const std::string& aVm,
                  const std::vector<std::string>& aServices,
                  clock::time_point aNow);
  void AnswerWanted(const news::News& aNews, clock::time_point aNow);
  void TakeUpdates(const news::News& aNews,
                   const news::exchange::clock_converter& aClock,
                   clock::time_point aNow);
  void TakeUpdate(const std::string& aVm,
                  const news::KeysUpdate& aUpdate,
                  const news::exchange::clock_converter& aClock,
                  clock::time_point aNow);
  void FillUpdate(news::KeysUpdate& aOut,
                  std::size_t aPrefix,
                  const store::key_update& aUpdate);
  void AskParts(const std::string& aVm,
                std::size_t aPrefix,
                clock::time_point aNow);
  void SendWantedPart(std::size_t aPrefix,
                      const std::string& aVm,
                      clock::time_point aNow);
  void AnswerParts(const news::News& aNews, clock::time_point aNow);
  void TakeParts(const news::News& aNews, clock::time_point aNow);
  void HoldFirstReadings(bool aHasForwarders, clock::time_point aNow);
  void AnswerSender(const std::string& aVm, clock::time_point aNow);
  void HeardChanges(const news::News& aNews, clock::time_point aNow);
  void TellSubscribers(clock::time_point aNow);
  /// The followed prefixes, in the order of their numbers in messages.
  [[nodiscard]] std::array<store::prefix_view*, 3> Views();
  void HoldViews();
  /// Whether the store answers this VM's calls, as far as is known.
  [[nodiscard]] bool ReachesStore() const;
  [[nodiscard]] std::vector<std::string> NextFew(clock::time_point aNow);
  [[nodiscard]] std::vector<std::string> DutyHolders() const;
  [[nodiscard]] std::vector<std::string> SomeDutyHolders();
  [[nodiscard]] std::string HolderOf(const std::string& aService) const;
  /// The record of the group's failover lock, or null.
  [[nodiscard]] const failover_lock* DutyOf(const std::string& aService) const;

  const node_settings& mSettings;
  lead::monitor_settings mLeadSettings;
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
  store::prefix_view mOwnView;
  store::registration mRegistration;
  news::exchange mNews;
  cluster_state mOwnKeys;
  // Counts round-robin selections.
  std::size_t mTurn;
  // The forwarders that this VM polls; empty if this VM follows the store
  // itself.
  std::vector<std::string> mForwarders;
  // The forwarders of this VM's failure domain, possibly including itself; the
  // failure domains that have forwarders; and the forwarders of all failure
  // domains.
  std::vector<std::string> mDomainForwarders;
  absl::flat_hash_set<std::string> mForwardedDomains;
  absl::flat_hash_set<std::string> mAllForwarders;
  forwarding_batch mRelays;
  // Groups that this VM monitors and has a newer watch update for.
  forwarding_batch mWatches;
  // When a forwarder last forwarded watch updates to this VM.
  clock::time_point mRelayedAt{};
  request_throttle mPace;
  clock::time_point mNextPoll{};
  internal::forwarding_timeouts mForwardingTimeouts;
  // Splitters that send snapshots of the followed prefixes to other VMs, and
  // assemblers that receive them, in the order of the prefixes' numbers.
  std::array<snapshot_splitter, 3> mCutters;
  std::array<snapshot_assembler, 3> mCollectors;
  // The VMs that poll this one.
  subscribers mSubscribers;
  // The groups that callers of this VM use, and the time up to which the
  // traffic thread has reported them.
  groups_in_use mInUse;
  clock::time_point mUseKnownAt{};
  vm_membership mKnownVms;
  std::uint64_t mVersion = 0;
  // Revision of the configuration in force.
  store::revision mInForce;
  // Age limit of the configuration, the schedule of this VM's freshness checks,
  // and the VMs that make such checks.
  customer::freshness mFreshness;
  freshness_check_schedule mChecks;
  std::vector<std::string> mCheckers;
  bool mWasFresh = false;
  // The customers in force; the tokens that this VM coordinates; its own share
  // of the rates, by partition; and the client that requests tokens.
  std::shared_ptr<const customer::directory> mCustomers;
  customer::token_buckets mBank;
  std::array<customer::token_accrual, customer::kPartitions> mShares;
  token_client mTokens;
  clock::time_point mNextShare{};
  absl::btree_map<std::string, clock::time_point> mSharedAt;
  clock::time_point mNextEnd{};
  server_list mServers;
  // Era of the list that was applied last.
  store::era_id mServersEra = 0;
  // Services of the configuration in force; empty before the first one.
  std::optional<absl::flat_hash_set<std::string>> mServices;
  // The valid entries, by key.
  absl::btree_map<std::string, proxy::server> mEntries;
  // Entries that cannot be used, and the revision of each.
  absl::btree_map<std::string, store::revision> mUnusable;
  groups mGroups;
  group_scheduler mAgenda;
  lock_assignments mDuties;
  bool mMayAsk = false;
  // By service, when the traffic thread last heard the primary.
  absl::btree_map<std::string, clock::time_point> mHeard;
  clock::time_point mStartedAt;
  clock::time_point mListedAt{};
  clock::time_point mNextReach{};
  // Until that time, which is set at the first reading of the list, recorded
  // VMs count although they are not listed.
  std::optional<clock::time_point> mSettledAt;
  bool mIsSettled = false;
  // Era of the cluster state, and the VMs that were known in the previous era,
  // until they have had time to register again.
  store::era_id mOwnEra = 0;
  std::vector<vm_record> mFormer;
  // The store was restored from an older snapshot since this process started.
  bool mHasReturned = false;
  // Whether the fleet record differs from the list; empty if either has changed
  // since the last comparison. And since when it has differed.
  std::optional<bool> mIsFleetStale;
  std::optional<clock::time_point> mFleetStaleSince;
  bool mIsLeaving = false;
  std::atomic<bool> mIsReady{ false };
  net::tick_timer mTicker;
  std::thread mThread;
};

} // namespace currantshed::node

#endif
