#ifndef CURRANTSHED_FAILOVER_PROMOTER_HPP
#define CURRANTSHED_FAILOVER_PROMOTER_HPP

#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"
#include "currantshed/failover/term_reservations.hpp"

namespace currantshed::failover {

/// Step of a failover.
enum class step
{
  /// No failover is in progress.
  kIdle,
  /// Waits for owners of a lower rank to begin.
  kRankDelay,
  /// Waits for a reserved term.
  kPickTerm,
  /// Fences a majority at the term.
  kFence,
  /// Waits until acknowledgements of older terms are no longer valid.
  kWaitOut,
  /// Waits for the chosen server to become primary.
  kPromote,
  /// Backs off before the next attempt.
  kBackOff,
};

/// Failover of a group by one pooler: takes a term, fences a majority at it,
/// waits until acknowledgements of older terms are no longer valid, and
/// promotes the server with the newest history. Promotes at most once per term.
/// Ends without further action if a higher term appears.
class promoter
{
public:
  promoter(const coordinator_settings& aSettings,
           const server_monitor& aMonitor,
           term_reservations& aReservations);

  void SetRank(unsigned aRank) { mRank = aRank; }

  /// Begins a failover unless one is in progress. aPrevious is the primary
  /// until now; if it is lost, another one is preferred. aExtraDelay is added
  /// to the delay by rank.
  void Begin(const primary_ref& aPrevious,
             bool aLost,
             clock::duration aExtraDelay,
             clock::time_point aNow);

  /// The reason for the failover no longer holds: ends it unless fences have
  /// been sent.
  void Cancel();

  /// Ends a failover in progress because of a higher term, a new primary or a
  /// changed set of servers.
  void Stop();

  /// The set of servers has changed: ends the failover and gives up its term,
  /// since a majority must be counted over one set of servers throughout.
  void Abandon();

  void FenceAnswered(const upstream::server_id& aServer,
                     position::term_id aTerm,
                     bool aAccepted,
                     const upstream::server_status& aStatus,
                     clock::time_point aNow);
  void PromoteAnswered(const upstream::server_id& aServer,
                       position::term_id aTerm,
                       bool aAccepted,
                       const upstream::server_status& aStatus,
                       clock::time_point aNow);

  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  [[nodiscard]] step Step() const noexcept { return mStep; }

  /// Last term used by this pooler; zero before the first.
  [[nodiscard]] position::term_id Term() const noexcept { return mTerm; }

  /// Returns the primary that was just promoted, once.
  [[nodiscard]] primary_ref TakePromoted();

private:
  void PickTerm(clock::time_point aNow);
  void RecordFenced(const upstream::server_id& aServer,
                    const upstream::server_status& aStatus,
                    clock::time_point aNow);
  void ReadMonitor(clock::time_point aNow);
  void SendFences(clock::time_point aNow, std::vector<action>& aOut);
  void Promote(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] bool IsPromotionLost(clock::time_point aNow) const;
  void CompletePromotion(const upstream::server_id& aServer);
  void BackOff(clock::time_point aNow);
  void GiveUpFence(clock::time_point aNow);
  [[nodiscard]] clock::duration NextPause();
  [[nodiscard]] upstream::server_id Choose() const;
  [[nodiscard]] bool IsAvoided(const upstream::server_id& aServer) const;
  [[nodiscard]] bool RanksBefore(const upstream::server_id& aLeft,
                                 const upstream::server_id& aRight) const;
  [[nodiscard]] clock::duration RankDelay() const;

  const server_monitor& mMonitor;
  term_reservations& mReservations;
  std::chrono::milliseconds mProbeInterval;
  std::chrono::milliseconds mRetry;
  std::chrono::milliseconds mValidity;
  unsigned mRank;
  step mStep = step::kIdle;
  clock::time_point mStepDue;
  clock::time_point mNextFence;
  clock::time_point mFenceDeadline;
  clock::time_point mPromotedAt;
  position::term_id mTerm = 0;
  // Whether the term must not be used any more: its one promotion was sent, or
  // it was given up.
  bool mTermUsed = true;
  unsigned mAttempts = 0;
  clock::time_point mNotBefore;
  primary_ref mPrevious;
  bool mLost = false;
  // Servers fenced at the term, with their status at that time.
  absl::btree_map<upstream::server_id, upstream::server_status> mFenced;
  upstream::server_id mChosen;
  primary_ref mPromoted;
};

} // namespace currantshed::failover

#endif
