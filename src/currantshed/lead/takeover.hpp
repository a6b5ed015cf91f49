#ifndef CURRANTSHED_LEAD_TAKEOVER_HPP
#define CURRANTSHED_LEAD_TAKEOVER_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/actions.hpp"
#include "currantshed/lead/server_table.hpp"

namespace currantshed::lead {

/// Progress of a takeover.
enum class takeover_step
{
  kNone,
  /// Fencing a majority of the group so that it no longer follows the old
  /// primary.
  kFence,
  /// Waiting until confirmations of the old term at other VMs have expired.
  kAwaitExpiry,
  /// The platform has been asked to promote the chosen server.
  kPromote,
};

/// Why the group needs a new primary.
enum class takeover_reason
{
  /// No VM can reach the primary.
  kLost,
  /// The primary is about to leave the group.
  kDraining,
  /// No server is primary.
  kNoPrimary,
  /// The primary answers, but has had repeated outages.
  kUnstable,
};

/// Replaces the primary of one group: prevents further confirmations of the old
/// one, waits until no confirmation of it is valid, and asks the platform to
/// promote the server with the longest log. Performs no I/O.
class takeover
{
public:
  /// The history is that of the group's monitor.
  takeover(server_table& aTable,
           const term_history& aHistory,
           std::chrono::milliseconds aValidity);

  /// This VM has acquired the failover lock. Until the given time an order of
  /// the previous holder may take effect.
  void LockAcquired(clock::time_point aOrdersPendUntil)
  {
    mInheritedUntil = aOrdersPendUntil;
  }

  /// Starts a takeover. aOldPrimary may be empty.
  void Start(takeover_reason aReason,
             upstream::server_id aOldPrimary,
             position::term_id aOldTerm,
             clock::time_point aNow,
             std::vector<action>& aOut);

  /// Ends a takeover that is in progress and lifts its revocation. Fences are
  /// lifted later, by the VM that monitors the group.
  void Abandon(std::vector<action>& aOut);

  /// Every VM that may hold a confirmation of the old term has stopped using
  /// it.
  void AllAcknowledged() { mAllAcknowledged = true; }

  /// What became of the request to promote the server.
  void PromotionAnswered(const upstream::server_id& aServer,
                         promotion_outcome aOutcome,
                         clock::time_point aNow);

  /// Proceeds as far as possible.
  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  [[nodiscard]] takeover_step Step() const noexcept { return mStep; }
  /// Whether the takeover still requests the promotion of this server.
  [[nodiscard]] bool IsPromoting(const upstream::server_id& aServer) const
  {
    return mStep == takeover_step::kPromote && mChosen == aServer;
  }
  [[nodiscard]] clock::time_point StartedAt() const noexcept
  {
    return mStartedAt;
  }
  /// Until when promotion requests of the last takeover may still take effect.
  /// No other takeover starts earlier.
  [[nodiscard]] clock::time_point HoldOffUntil() const noexcept
  {
    return mHoldOffUntil;
  }
  /// Whether the primary of a newer term will be replaced soon, because a
  /// request to promote another server is still in flight.
  [[nodiscard]] bool IsSupersededBy(const upstream::server_id& aPrimary,
                                    clock::time_point aNow) const;
  /// The replaced terms that are recorded in the store, as far as this takeover
  /// knows.
  [[nodiscard]] const term_history& RecordedTerms() const noexcept
  {
    return mMayBeCarriedOut ? mHistory : mKnown;
  }
  /// The replaced terms, given that the server leads aTerm.
  [[nodiscard]] term_history TermsBefore(const upstream::server_id& aPrimary,
                                         position::term_id aTerm) const;
  /// When further confirmations of the old term became impossible.
  [[nodiscard]] clock::time_point BlockedAt() const noexcept
  {
    return mBlockedAt;
  }
  /// The term whose confirmations no VM may use, or zero.
  [[nodiscard]] position::term_id RevokedTerm() const noexcept;

  /// A server leads a newer term but will be replaced soon: the takeover
  /// continues with that server as the old primary.
  void Superseded(const proxy::confirmation& aConfirmation,
                  std::vector<action>& aOut);

  /// A server leads a newer term: the takeover is complete.
  void Succeeded(const upstream::server_id& aPrimary,
                 clock::time_point aNow,
                 std::vector<action>& aOut);

private:
  void LogProgress(clock::time_point aNow, std::vector<action>& aOut);
  void Fence(clock::time_point aNow, std::vector<action>& aOut);
  void CheckFences(clock::time_point aNow, std::vector<action>& aOut);
  void ScheduleRetry(clock::time_point aNow);
  [[nodiscard]] bool IsChoiceInvalid() const;
  [[nodiscard]] bool IsCandidate(const member_view& aView) const;
  [[nodiscard]] bool IsEligible(const member_view& aView) const;
  [[nodiscard]] bool HasLostData(const member_view& aView) const;
  [[nodiscard]] bool IsOldPrimaryLeft() const;
  [[nodiscard]] bool IsReportExpected(const member_view& aView) const;
  [[nodiscard]] bool IsInheritedOrderPending(clock::time_point aNow) const;
  [[nodiscard]] upstream::server_id InheritedChoice() const;
  [[nodiscard]] upstream::server_id ShortestOfUnknown(
    clock::time_point aNow) const;
  void Choose(const upstream::server_id& aServer);
  void DemoteOldPrimary(clock::time_point aNow, std::vector<action>& aOut);
  void LiftFences(clock::time_point aNow, std::vector<action>& aOut);
  void Promote(clock::time_point aNow, std::vector<action>& aOut);
  void Send(const upstream::server_id& aServer,
            proxy::command_kind aKind,
            clock::time_point aNow,
            std::vector<action>& aOut);
  [[nodiscard]] bool HasReportedNotPrimary(const member_view* aView) const;
  [[nodiscard]] bool IsFenced(const member_view& aView) const;
  [[nodiscard]] bool NeedsReplicaFences(clock::time_point aNow) const;
  [[nodiscard]] upstream::server_id ChooseCandidate(
    clock::time_point aNow) const;
  [[nodiscard]] upstream::server_id BestCandidate(clock::time_point aNow) const;

  server_table& mTable;
  const term_history& mKnown;
  std::chrono::milliseconds mValidity;
  takeover_step mStep = takeover_step::kNone;
  takeover_reason mReason = takeover_reason::kLost;
  upstream::server_id mOldPrimary;
  position::term_id mOldTerm = 0;
  position::term_id mFenceTerm = 0;
  clock::time_point mStartedAt;
  clock::time_point mNextSend;
  clock::time_point mNextLog;
  clock::time_point mNextRequest;
  clock::time_point mWaitUntil;
  clock::time_point mBlockedAt;
  bool mAllAcknowledged = false;
  // Whether replicas are kept from following the old primary.
  bool mFencesReplicas = true;
  upstream::server_id mChosen;
  proxy::start_time mChosenStartedAt{};
  clock::time_point mLastRequestAt;
  unsigned mRequests = 0;
  // Whether the first request repeated the order of an earlier lock holder, so
  // that both may take effect.
  bool mRepeatsInherited = false;
  // Whether the last request has not been answered.
  bool mAwaitsAnswer = false;
  clock::time_point mHoldOffUntil;
  clock::time_point mTickedAt;
  // The replaced terms, with the ends that follow from the orders of this
  // takeover; the same before the choice of the present server, whose orders
  // may all turn out not to have been carried out; and whether one of them may
  // have been.
  term_history mHistory;
  term_history mHistoryBeforeChoice;
  bool mMayBeCarriedOut = false;
  // Until when the order that the previous lock holder recorded may take
  // effect.
  clock::time_point mInheritedUntil;
  absl::btree_set<upstream::server_id> mRejected;
};

[[nodiscard]] std::string_view
NameOf(takeover_step aStep);

[[nodiscard]] std::string_view
NameOf(takeover_reason aReason);

} // namespace currantshed::lead

#endif
