#ifndef CURRANTSHED_LEAD_GROUP_MONITOR_HPP
#define CURRANTSHED_LEAD_GROUP_MONITOR_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/actions.hpp"
#include "currantshed/lead/outage_history.hpp"
#include "currantshed/lead/scheduling_delay.hpp"
#include "currantshed/lead/server_table.hpp"
#include "currantshed/lead/takeover.hpp"

namespace currantshed::lead {

/// Timing of one group's monitoring.
struct monitor_settings
{
  /// How long a confirmation is valid, counted from the time its queries were
  /// sent. A shorter time makes failover faster, a longer one saves queries.
  std::chrono::milliseconds validity{ 1000 };
  /// Interval between confirmations at the VM that monitors the group.
  std::chrono::milliseconds askInterval{ 350 };
  /// A server under load takes about 10 ms for a report. Two queries that time
  /// out fit into silentAfter.
  std::chrono::milliseconds askTimeout{ 200 };
  /// How long no VM must have heard from the primary before it counts as lost.
  std::chrono::milliseconds silentAfter{ 600 };
};

/// The status of a group as the VM that monitors it announces it.
struct watch_update
{
  proxy::confirmation confirmation;
  std::optional<proxy::position_sample> sample;
  /// The term whose confirmations no VM may use, or zero.
  position::term_id revokedTerm = 0;
  /// Epoch of the failover lock of the VM that revokes; a higher epoch takes
  /// precedence.
  std::uint64_t epoch = 0;
  /// Incremented whenever the lock holder revokes a term or lifts a revocation,
  /// since updates that arrive over different paths may be reordered.
  std::uint64_t sequence = 0;
};

/// Whether one VM can reach the primary, as reported to the other VMs.
struct reach_update
{
  position::term_id term = 0;
  upstream::server_id primary;
  /// When it last heard from the primary.
  clock::time_point heardAt;
  /// The revoked term whose confirmations the VM has stopped using.
  position::term_id acknowledgedTerm = 0;
  /// Earliest time at which the VM can have sent this.
  clock::time_point sentAt;
};

/// One VM's view of one group: which server is the confirmed primary and, on
/// the VM that holds the group's failover lock, monitoring of the primary and
/// failover. The lock is recorded in the store under a lease, and its epoch
/// serves as a fencing token. A confirmation says that a majority of the group
/// followed a primary in a term; it is valid for a limited time. Performs no
/// I/O: takes events and the current time, and returns actions.
class group_monitor
{
public:
  explicit group_monitor(const monitor_settings& aSettings);
  group_monitor(const group_monitor&) = delete;
  group_monitor& operator=(const group_monitor&) = delete;

  void Configure(const std::vector<member>& aMembers, clock::time_point aNow);

  /// Sets whether this VM holds the group's failover lock, and the lock's
  /// epoch.
  void SetFailoverLock(bool aHolds,
                       std::uint64_t aEpoch,
                       clock::time_point aNow);

  /// Sets whether this VM is the next in line for a failover lock that no VM
  /// holds. It then confirms the primary on behalf of all VMs, but starts no
  /// takeover.
  void SetIsInterim(bool aIsInterim) noexcept { mIsInterim = aIsInterim; }

  /// The other VMs, as read from the store after aAskedAt, and VMs known
  /// earlier that may still be running. A VM that is not among them started
  /// when the old primary could no longer be confirmed.
  void VmsListed(std::vector<std::string> aVms,
                 clock::time_point aAskedAt,
                 clock::time_point aNow);

  /// The latest term that a takeover has replaced, according to the store.
  /// Confirmations of this or an earlier term are not valid.
  void SetReplacedTerm(position::term_id aTerm, clock::time_point aNow);

  /// The replaced terms, according to the record of the failover lock. Terms
  /// that only this VM remembers, from before the store was restored, are kept.
  void SetTerms(const term_history& aTerms, clock::time_point aNow);

  /// The replaced terms that this VM knows, either from the store or because a
  /// later term is confirmed.
  [[nodiscard]] const term_history& Terms() const noexcept { return mTerms; }

  /// The result of read_replaced_term; empty if the store could not be read.
  void ReplacedTermRead(std::optional<position::term_id> aReplaced,
                        clock::time_point aNow);

  /// Sets whether this VM may obtain confirmations. Before it is registered in
  /// the store, the VM that promotes does not know that this one may be using a
  /// confirmation.
  void SetMayConfirm(bool aMayConfirm) { mMayConfirm = aMayConfirm; }

  /// Sets how many VMs may query this group and this VM's place among them, in
  /// [0, 1). While no update arrives from the lock holder, the VMs stagger
  /// their queries and forward the results to each other.
  void SetQueryStagger(std::size_t aVms, double aFraction);

  /// Sets whether another VM forwards updates on the group to this one. That VM
  /// is then asked first and given time to answer.
  void SetIsForwarded(bool aIsForwarded) noexcept
  {
    mIsForwarded = aIsForwarded;
  }

  /// Requests are waiting for a confirmation.
  void ConfirmationNeeded(clock::time_point aNow);

  /// A server reported that it is not the primary of that term.
  void LeadershipDenied(position::term_id aTerm, clock::time_point aNow);

  /// The results of send_command. An answer without a report means that the
  /// server is busy. After a failure, aHeardAt is the time at which regular
  /// traffic last heard from the server, if known.
  void ServerAnswered(const upstream::server_id& aServer,
                      const std::optional<proxy::server_report>& aReport,
                      clock::time_point aAskedAt,
                      clock::time_point aNow);
  void ServerFailed(const upstream::server_id& aServer,
                    std::optional<clock::time_point> aHeardAt,
                    clock::time_point aNow);
  /// The result of request_promotion.
  void PromotionAnswered(const upstream::server_id& aServer,
                         promotion_outcome aOutcome,
                         clock::time_point aNow);
  /// Whether this VM holds the failover lock and still wants the server
  /// promoted.
  [[nodiscard]] bool IsPromoting(const upstream::server_id& aServer) const
  {
    return mHoldsLock && mTakeover.IsPromoting(aServer);
  }

  /// Updates from other VMs, with all times converted to this VM's clock.
  void WatchUpdateReceived(const watch_update& aUpdate, clock::time_point aNow);
  void ReachUpdateReceived(const std::string& aVm,
                           const reach_update& aUpdate,
                           clock::time_point aNow);

  /// The updates that this VM sends to others. aHeardAt is the time at which
  /// regular traffic last heard from the primary.
  [[nodiscard]] watch_update WatchUpdate() const;
  /// The latest update from the lock holder, for forwarding.
  [[nodiscard]] watch_update ForwardedUpdate() const;
  [[nodiscard]] reach_update ReachUpdate(
    std::optional<clock::time_point> aHeardAt) const;

  void Tick(clock::time_point aNow);
  [[nodiscard]] clock::time_point NextTick() const;
  [[nodiscard]] std::vector<action> TakeActions();

  [[nodiscard]] const proxy::confirmation& Confirmation() const noexcept
  {
    return mConfirmation;
  }
  [[nodiscard]] bool HoldsFailoverLock() const noexcept { return mHoldsLock; }
  /// Whether this VM announces the group's status to all VMs.
  [[nodiscard]] bool AnnouncesStatus() const noexcept
  {
    return mHoldsLock || mIsInterim;
  }
  /// Whether this VM monitors the group and has no recent answer from the
  /// primary, so that it depends on other VMs' reachability updates.
  [[nodiscard]] bool SuspectsPrimary(clock::time_point aNow) const;
  [[nodiscard]] bool IsTakeoverActive() const noexcept
  {
    return mTakeover.Step() != takeover_step::kNone;
  }

private:
  struct received_reach_update
  {
    reach_update update;
    clock::time_point at;
  };

  void Evaluate(clock::time_point aNow);
  void AdoptConfirmation(const proxy::confirmation& aConfirmation,
                         bool aIsOwn,
                         clock::time_point aNow);
  void AdoptPositionSample(clock::time_point aNow);
  void AdoptOwnConfirmation(clock::time_point aNow);
  [[nodiscard]] position::term_id LastInvalidTerm() const;
  [[nodiscard]] bool PredatesRestart(
    const proxy::confirmation& aConfirmation) const;
  [[nodiscard]] bool IsNewer(
    const proxy::confirmation& aConfirmation) const noexcept;
  [[nodiscard]] bool IsSufficient(
    const proxy::confirmation& aConfirmation) const;
  void CheckReplacedTerm(const proxy::confirmation& aConfirmation,
                         clock::time_point aNow);
  void LiftRevocation(position::term_id aTerm);
  void NoteReplaced(position::term_id aTerm);
  void NoteTermStart(clock::time_point aNow);
  void RecordTerms(clock::time_point aNow);
  void MonitorPrimary(clock::time_point aNow);
  void SendQueries(clock::time_point aNow);
  void SendQuery(member_view& aView, clock::time_point aNow);
  void RepairMembers(clock::time_point aNow);
  [[nodiscard]] position::term_id UnconfirmableTerm(
    clock::time_point aNow) const;
  void CheckAcknowledgements();
  [[nodiscard]] bool IsMonitoring() const noexcept;
  [[nodiscard]] clock::time_point NextQueryAt() const;
  [[nodiscard]] std::chrono::milliseconds QueryPause(
    const member_view& aView) const;
  [[nodiscard]] bool NeedsConfirmation(clock::time_point aNow) const;
  [[nodiscard]] bool IsPrimaryLost(clock::time_point aNow) const;
  void RecordOutage(clock::time_point aNow);
  [[nodiscard]] clock::duration DelayAllowance(clock::time_point aNow) const;
  [[nodiscard]] bool IsReachableElsewhere(clock::time_point aNow) const;
  [[nodiscard]] std::string ReachableFrom(clock::time_point aNow) const;
  void LogKeptPrimary(clock::time_point aNow);
  void LogUnconfirmed(clock::time_point aNow);
  void LogLostPrimary(const member_view& aPrimary, clock::time_point aNow);
  [[nodiscard]] bool DeniesLeadership(const member_view& aView,
                                      clock::time_point aNow) const;
  [[nodiscard]] bool HasNoPrimary(clock::time_point aNow);
  [[nodiscard]] const member_view* Witness() const;

  monitor_settings mSettings;
  server_table mTable;
  term_history mTerms;
  takeover mTakeover;
  proxy::confirmation mConfirmation;
  std::optional<proxy::position_sample> mSample;
  bool mHoldsLock = false;
  bool mIsInterim = false;
  bool mMayConfirm = true;
  bool mIsForwarded = false;
  // How long after the first VM this one sends its queries, and the minimum
  // pause between two queries of any one VM.
  std::chrono::milliseconds mQueryDelay{ 0 };
  std::chrono::milliseconds mQueryPause{ 0 };
  std::uint64_t mEpoch = 0;
  clock::time_point mLockHeldSince;
  // The term that this VM revokes, and how often that has changed.
  position::term_id mOwnRevoked = 0;
  std::uint64_t mOwnSequence = 0;
  // The latest revocation received from a lock holder.
  position::term_id mRevoked = 0;
  std::uint64_t mRevokedEpoch = 0;
  std::uint64_t mRevokedSequence = 0;
  clock::time_point mRevokedAt;
  position::term_id mReplaced = 0;
  // The lock's record of replaced terms; those that are known to differ from
  // it, and when to record them.
  term_history mRecorded;
  std::optional<term_history> mUnrecorded;
  clock::time_point mNextRecord;
  // A confirmation obtained by this VM that is valid only if the store shows
  // that its term has not been replaced.
  std::optional<proxy::confirmation> mUncheckedConfirmation;
  clock::time_point mNextCheck;
  // The VMs that must acknowledge the revocation, once they are known.
  std::optional<std::vector<std::string>> mMustAcknowledge;
  absl::btree_map<std::string, received_reach_update> mReachUpdates;
  clock::time_point mDemandAt;
  clock::time_point mDemandSince;
  clock::time_point mDeniedAt;
  // The VM whose updates keep a primary in place that this VM cannot reach.
  std::string mKeptBy;
  scheduling_delay mSchedulingDelay;
  outage_history mOutages;
  // When the lock holder has scheduled its next tick.
  std::optional<clock::time_point> mScheduledTick;
  std::optional<clock::time_point> mNoPrimarySince;
  // When to log next that the group has no confirmed primary.
  clock::time_point mNextUnconfirmedLog{};
  clock::time_point mNow;
  std::vector<action> mActions;
};

} // namespace currantshed::lead

#endif
