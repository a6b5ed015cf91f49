#ifndef CURRANTSHED_FAILOVER_PROMOTER_HPP
#define CURRANTSHED_FAILOVER_PROMOTER_HPP

#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"
#include "currantshed/failover/term_reservations.hpp"

namespace currantshed::failover {

/// Where a failover stands.
enum class step
{
  /// None is under way.
  kIdle,
  /// Waits for owners of a lower rank to begin.
  kRankDelay,
  /// Waits for a term number.
  kPickTerm,
  /// Gets the term accepted by a majority.
  kFence,
  /// Waits until acknowledgements of older terms no longer hold.
  kWaitOut,
  /// Waits for the chosen server to become primary.
  kPromote,
  /// Waits before the next try.
  kBackOff,
};

/// One pooler's failover of a group: takes a term, fences it at a majority,
/// waits out what older terms may still acknowledge, and promotes the server
/// with the newest history. Promotes once a term. Ends quietly when a higher
/// term turns up.
class promoter
{
public:
  promoter(const coordinator_settings& aSettings,
           const server_monitor& aMonitor,
           term_reservations& aReservations);

  void SetRank(unsigned aRank) { mRank = aRank; }

  /// Begins a failover unless one is under way. aPrevious is the primary
  /// until now; where it is lost, another one is preferred. aExtraDelay is
  /// added to the delay by rank.
  void Begin(const primary_ref& aPrevious,
             bool aLost,
             clock::duration aExtraDelay,
             clock::time_point aNow);

  /// The reason to begin is gone: ends unless fences are under way.
  void Cancel();

  /// Ends whatever is under way: a higher term, a new primary or other
  /// servers turned up.
  void Stop();

  /// The group has other servers now: ends, and gives up the term, since a
  /// majority is counted over one set of servers from begin to end.
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

  /// The last term used here; zero before the first.
  [[nodiscard]] position::term_id Term() const noexcept { return mTerm; }

  /// Hands over the primary just made, once.
  [[nodiscard]] primary_ref TakePromoted();

private:
  void PickTerm(clock::time_point aNow);
  void NoteFenced(const upstream::server_id& aServer,
                  const upstream::server_status& aStatus,
                  clock::time_point aNow);
  void ReadMonitor(clock::time_point aNow);
  void SendFences(clock::time_point aNow, std::vector<action>& aOut);
  void Promote(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] bool IsPromotionLost(clock::time_point aNow) const;
  void Succeed(const upstream::server_id& aServer);
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
  clock::time_point mDue;
  clock::time_point mNextFence;
  clock::time_point mGiveUp;
  clock::time_point mPromotedAt;
  position::term_id mTerm = 0;
  // Whether the term is used up: its one promotion was sent, or it was given
  // up.
  bool mUsed = true;
  unsigned mTries = 0;
  clock::time_point mNotBefore;
  primary_ref mPrevious;
  bool mLost = false;
  // Servers fenced at the term, as they stood then.
  absl::btree_map<upstream::server_id, upstream::server_status> mFenced;
  upstream::server_id mChosen;
  primary_ref mPromoted;
};

} // namespace currantshed::failover

#endif
