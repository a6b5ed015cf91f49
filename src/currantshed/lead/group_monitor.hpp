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
#include "currantshed/lead/scheduling_delay.hpp"
#include "currantshed/lead/server_table.hpp"
#include "currantshed/lead/takeover.hpp"

namespace currantshed::lead {

/// Times of one group's lead.
struct monitor_settings
{
  /// How long a proof holds, from its asking. Shorter makes a change of the
  /// primary faster, longer spares questions.
  std::chrono::milliseconds validity{ 1000 };
  /// Time between two proofs while this VM watches the group.
  std::chrono::milliseconds askInterval{ 350 };
  /// A report takes a server under load some 10 ms; two questions that end
  /// this way fit into the silence after which a primary counts as lost.
  std::chrono::milliseconds askTimeout{ 200 };
  /// How long the primary must be silent to every VM before it counts as lost.
  std::chrono::milliseconds silentAfter{ 600 };
};

/// What one VM's word on a group says of its watch.
struct watch_update
{
  proxy::confirmation confirmation;
  std::optional<proxy::position_sample> sample;
  /// The term that no VM may rest on, or zero.
  position::term_id revokedTerm = 0;
  /// Number of the duty of whoever revokes; a higher one overrides.
  std::uint64_t epoch = 0;
  /// Goes up whenever the holder of the duty revokes or lifts a revocation:
  /// words that come by several ways may overtake each other.
  std::uint64_t sequence = 0;
};

/// What one VM says of its own way to the primary.
struct reach_update
{
  position::term_id term = 0;
  upstream::server_id primary;
  /// When it last heard the primary.
  clock::time_point heardAt;
  /// The term that it was told not to rest on, and does not.
  position::term_id acknowledgedTerm = 0;
  /// When it said so, at the earliest.
  clock::time_point sentAt;
};

/// One group at one VM: who leads it, with proof; and at the VM that holds the
/// group's duty, the watch over the primary and its replacement. Does no I/O:
/// events and the time go in, actions come out.
class group_monitor
{
public:
  explicit group_monitor(const monitor_settings& aSettings);
  group_monitor(const group_monitor&) = delete;
  group_monitor& operator=(const group_monitor&) = delete;

  void Configure(const std::vector<member>& aMembers, clock::time_point aNow);

  /// Whether this VM holds the group's duty, and its number.
  void SetFailoverLock(bool aHolds,
                       std::uint64_t aEpoch,
                       clock::time_point aNow);

  /// Whether this VM is about to take the duty, which nobody holds: it proves
  /// the primary for the others, but changes nothing.
  void SetIsInterim(bool aStandsIn) noexcept { mStandsIn = aStandsIn; }

  /// The other VMs, as read from the store after the given time, and those
  /// known before that may still run. A VM that is not among them began after
  /// the old primary could be proved no more.
  void VmsListed(std::vector<std::string> aVms,
                 clock::time_point aAskedAt,
                 clock::time_point aNow);

  /// The newest term that a change of the primary has replaced, as the store
  /// shows it: no proof of it or an earlier one holds.
  void SetReplacedTerm(position::term_id aTerm, clock::time_point aNow);

  /// The newest term that this VM knows to be replaced, by the store or since a
  /// later one is proved.
  [[nodiscard]] position::term_id ReplacedTerm() const noexcept;

  /// The same, read from the store since the check was asked for; none when
  /// the store could not be read.
  void ReplacedTermRead(std::optional<position::term_id> aReplaced,
                        clock::time_point aNow);

  /// Whether this VM may have proofs yet: before it stands in the store,
  /// whoever promotes does not know that it may rest on one.
  void SetMayConfirm(bool aMayAsk) { mMayAsk = aMayAsk; }

  /// How many VMs may ask for proofs of this group, and this VM's place among
  /// them, from 0 to below 1. Without a word of the holder they ask one after
  /// the other and pass on what they learn.
  void SetQueryStagger(std::size_t aVms, double aPlace);

  /// Whether another VM passes on what is known of the group: it is asked
  /// first, and given time to answer.
  void SetIsForwarded(bool aIsForwarded) noexcept
  {
    mIsForwarded = aIsForwarded;
  }

  /// Requests need a proof.
  void ConfirmationNeeded(clock::time_point aNow);

  /// A server denied that it leads in that term.
  void LeadershipDenied(position::term_id aTerm, clock::time_point aNow);

  void ServerAnswered(const upstream::server_id& aServer,
                      const std::optional<proxy::server_report>& aReport,
                      clock::time_point aAskedAt,
                      clock::time_point aNow);
  void ServerFailed(const upstream::server_id& aServer,
                    std::optional<clock::time_point> aHeardAt,
                    clock::time_point aNow);
  void PromotionAnswered(bool aTaken, bool aRejected, clock::time_point aNow);

  /// What another VM says; times are of this VM's clock.
  void WatchUpdateReceived(const watch_update& aNews, clock::time_point aNow);
  void ReachUpdateReceived(const std::string& aVm,
                           const reach_update& aNews,
                           clock::time_point aNow);

  /// What this VM says to others. The reach is when traffic last heard the
  /// primary.
  [[nodiscard]] watch_update WatchUpdate() const;
  /// What it passes on of what it was told by whoever holds the duty.
  [[nodiscard]] watch_update ForwardedUpdate() const;
  [[nodiscard]] reach_update ReachUpdate(
    std::optional<clock::time_point> aHeardAt) const;

  void Tick(clock::time_point aNow);
  [[nodiscard]] clock::time_point NextTick() const;
  [[nodiscard]] std::vector<action> TakeActions();

  [[nodiscard]] const proxy::confirmation& Confirmation() const noexcept
  {
    return mProof;
  }
  [[nodiscard]] bool HoldsFailoverLock() const noexcept { return mHoldsLock; }
  /// Whether its word on the group is for all VMs.
  [[nodiscard]] bool AnnouncesStatus() const noexcept
  {
    return mHoldsLock || mStandsIn;
  }
  /// Whether this VM watches the group and lacks the primary's own word, so
  /// that it judges by others'.
  [[nodiscard]] bool SuspectsPrimary(clock::time_point aNow) const;
  [[nodiscard]] bool IsTakeoverActive() const noexcept
  {
    return mTakeover.Step() != takeover_step::kNone;
  }

private:
  struct peer_reach
  {
    reach_update news;
    clock::time_point at;
  };

  void Evaluate(clock::time_point aNow);
  void TakeProof(const proxy::confirmation& aProof,
                 bool aIsOwn,
                 clock::time_point aNow);
  void TakeSample(clock::time_point aNow);
  void TakeOwnProof(clock::time_point aNow);
  [[nodiscard]] position::term_id EndedTerm() const;
  [[nodiscard]] bool IsOfOldLife(const proxy::confirmation& aProof) const;
  [[nodiscard]] bool IsNewer(const proxy::confirmation& aProof) const noexcept;
  [[nodiscard]] bool IsTrusted(const proxy::confirmation& aProof) const;
  void CheckTerms(const proxy::confirmation& aProof, clock::time_point aNow);
  void LiftRevocation(position::term_id aTerm);
  void Judge(clock::time_point aNow);
  void Ask(clock::time_point aNow);
  void AskOne(member_view& aView, clock::time_point aNow);
  void Repair(clock::time_point aNow);
  [[nodiscard]] position::term_id UnreplacedTerm(clock::time_point aNow) const;
  void CheckObedience();
  [[nodiscard]] bool Watches() const noexcept;
  [[nodiscard]] clock::time_point AsksFrom() const;
  [[nodiscard]] std::chrono::milliseconds Pause(const member_view& aView) const;
  [[nodiscard]] bool WantsProof(clock::time_point aNow) const;
  [[nodiscard]] bool IsLost(clock::time_point aNow) const;
  [[nodiscard]] clock::duration OwnDelay(clock::time_point aNow) const;
  [[nodiscard]] bool IsReachedElsewhere(clock::time_point aNow) const;
  [[nodiscard]] std::string ReachedBy(clock::time_point aNow) const;
  void NoteKept(clock::time_point aNow);
  void NoteUnproved(clock::time_point aNow);
  void NoteLost(const member_view& aPrimary, clock::time_point aNow);
  [[nodiscard]] bool DeniesToLead(const member_view& aView,
                                  clock::time_point aNow) const;
  [[nodiscard]] bool IsVacant(clock::time_point aNow);
  [[nodiscard]] const member_view* Witness() const;

  monitor_settings mSettings;
  server_table mTable;
  takeover mTakeover;
  proxy::confirmation mProof;
  std::optional<proxy::position_sample> mSample;
  bool mHoldsLock = false;
  bool mStandsIn = false;
  bool mMayAsk = true;
  bool mIsForwarded = false;
  // How much later than the first VM this one asks, and how long any one VM
  // pauses between questions.
  std::chrono::milliseconds mAskDelay{ 0 };
  std::chrono::milliseconds mAskPause{ 0 };
  std::uint64_t mEpoch = 0;
  clock::time_point mLockHeldSince;
  // The term that this VM revokes, and how often that has changed.
  position::term_id mOwnRevoked = 0;
  std::uint64_t mOwnSequence = 0;
  // The newest word of whoever holds the duty.
  position::term_id mRevoked = 0;
  std::uint64_t mRevokedEpoch = 0;
  std::uint64_t mRevokedSequence = 0;
  clock::time_point mRevokedAt;
  position::term_id mReplaced = 0;
  // An own proof that holds only if the store shows that its term still leads.
  std::optional<proxy::confirmation> mUnchecked;
  clock::time_point mNextCheck;
  // The VMs that must give up a revoked term, once they are known.
  std::optional<std::vector<std::string>> mMustObey;
  absl::btree_map<std::string, peer_reach> mReach;
  clock::time_point mWantedAt;
  clock::time_point mWantedSince;
  clock::time_point mDeniedAt;
  // Whose word keeps a primary that this VM does not hear.
  std::string mKeptBy;
  scheduling_delay mLateness;
  // When the holder of the duty has planned to look next.
  std::optional<clock::time_point> mPlanned;
  std::optional<clock::time_point> mVacantSince;
  // When the next line on a group without a primary is due.
  clock::time_point mNextUnproved{};
  clock::time_point mNow;
  std::vector<action> mActions;
};

} // namespace currantshed::lead

#endif
