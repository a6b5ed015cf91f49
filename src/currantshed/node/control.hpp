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

/// What the control thread reaches the platform by; made on its io_context.
struct platform_access
{
  std::unique_ptr<store::key_value> store;
  std::unique_ptr<promoter> promotion;
};

using platform_factory =
  std::function<platform_access(boost::asio::io_context&)>;

/// The control thread: the store, the other VMs, and who leads each group.
/// Tells the traffic thread what it needs to know.
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

  /// Listens to other VMs and starts the thread.
  [[nodiscard]] std::error_code Start();

  /// Tells the others that this VM stops soon, and takes no callers. May be
  /// called on any thread.
  void Leave();

  /// Takes the VM off the store's list and ends the thread.
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
    /// This VM's place among those that ask for proofs of a group that nobody
    /// watches.
    double place = 0;
    bool isClaiming = false;
    clock::time_point claimFrom{};
    /// This VM has proved the primary itself, and tells the others, although
    /// the group is not its to watch.
    bool passesOn = false;
    /// What is passed on next is for all subscribers: another primary leads, or
    /// a term was revoked.
    bool isForAll = false;
    /// When this VM last asked others about the primary, which it watches.
    clock::time_point doubtedAt{};
    /// Until when the VM that watches the group wants words on the primary, and
    /// the freshest of this VM's subscribers.
    clock::time_point reachWantedUntil{};
    forwarded_reach_update freshest;
    position::term_id toldTerm = 0;
    /// The primary's positions that were told last, oldest first, for those
    /// that begin to use the group: a read may be as old as they are.
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
  /// The group, to tell its lead something: what that leads to is performed.
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
  /// Whether calls of the store are answered, as far as is known.
  [[nodiscard]] bool ReachesStore() const;
  [[nodiscard]] std::vector<std::string> NextFew(clock::time_point aNow);
  [[nodiscard]] std::vector<std::string> DutyHolders() const;
  [[nodiscard]] std::vector<std::string> SomeDutyHolders();
  [[nodiscard]] std::string HolderOf(const std::string& aService) const;
  /// The duty's record, or null.
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
  // Counts the times that a few of the others were chosen.
  std::size_t mTurn;
  // Who follows the store for this VM, when it last asked them and next does.
  std::vector<std::string> mForwarders;
  // The feeders of this VM's failure domain, itself perhaps among them, the
  // failure domains that have feeders, and the feeders of all.
  std::vector<std::string> mDomainForwarders;
  absl::flat_hash_set<std::string> mForwardedDomains;
  absl::flat_hash_set<std::string> mAllForwarders;
  forwarding_batch mRelays;
  // The groups that this VM watches and has newer word on.
  forwarding_batch mWatches;
  // When a feeder last passed words of those that watch groups on to this VM.
  clock::time_point mRelayedAt{};
  request_throttle mPace;
  clock::time_point mNextPoll{};
  internal::forwarding_timeouts mForwardingTimeouts;
  // Copies of the followed prefixes for VMs that lack much, and what this VM
  // lacks; in the order of the prefixes' numbers.
  std::array<snapshot_splitter, 3> mCutters;
  std::array<snapshot_assembler, 3> mCollectors;
  // The VMs that ask this one.
  subscribers mSubscribers;
  // The groups that callers of this VM use, and up to when that is known.
  groups_in_use mInUse;
  clock::time_point mUseKnownAt{};
  vm_membership mKnownVms;
  std::uint64_t mVersion = 0;
  // The change of the store that the configuration in force came with.
  store::revision mInForce;
  // How old it may be, who asks the store about that, and when.
  customer::freshness mFreshness;
  freshness_check_schedule mChecks;
  std::vector<std::string> mCheckers;
  bool mWasFresh = false;
  // The customers in force; their tokens, as far as this VM collects them; its
  // own share of them; and whom it asks for some.
  std::shared_ptr<const customer::directory> mCustomers;
  customer::token_buckets mBank;
  std::array<customer::token_accrual, customer::kPartitions> mShares;
  token_client mTokens;
  clock::time_point mNextShare{};
  absl::btree_map<std::string, clock::time_point> mSharedAt;
  clock::time_point mNextEnd{};
  server_list mServers;
  // The era of the list that was taken last.
  store::era_id mServersEra = 0;
  // The services of the configuration in force, once there is one.
  std::optional<absl::flat_hash_set<std::string>> mServices;
  // The entries that can be read, by key.
  absl::btree_map<std::string, proxy::server> mEntries;
  // Entries that name no server to use, and their last changes.
  absl::btree_map<std::string, store::revision> mUnusable;
  groups mGroups;
  group_scheduler mAgenda;
  lock_assignments mDuties;
  bool mMayAsk = false;
  // By group, when its primary was last heard by traffic.
  absl::btree_map<std::string, clock::time_point> mHeard;
  clock::time_point mStartedAt;
  clock::time_point mListedAt{};
  clock::time_point mNextReach{};
  // VMs that were recorded count although they are not listed until that time,
  // which follows the first reading of the list.
  std::optional<clock::time_point> mSettledAt;
  bool mIsSettled = false;
  // The era of the own keys, and the VMs that were known in the one before,
  // until they have had time to be listed again.
  store::era_id mOwnEra = 0;
  std::vector<vm_record> mFormer;
  // The store has come back from an older copy in this life.
  bool mHasReturned = false;
  // Whether the record of the fleet differs from those listed; not known since
  // either has changed. And since when it has.
  std::optional<bool> mIsFleetStale;
  std::optional<clock::time_point> mFleetStaleSince;
  bool mIsLeaving = false;
  std::atomic<bool> mIsReady{ false };
  net::tick_timer mTicker;
  std::thread mThread;
};

} // namespace currantshed::node

#endif
