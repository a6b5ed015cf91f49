#ifndef CURRANTSHED_FAILOVER_FOLLOWER_REPAIR_HPP
#define CURRANTSHED_FAILOVER_FOLLOWER_REPAIR_HPP

#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"

namespace currantshed::failover {

/// Makes servers follow the primary of the group: those in a lower term,
/// including a former primary that is reachable again, those still fenced at
/// the primary's term, and those that follow no primary. A server that cannot
/// join in its term refuses, so a delayed request is harmless.
class follower_repair
{
public:
  follower_repair(const coordinator_settings& aSettings,
                  const server_monitor& aMonitor);

  /// Higher ranks let lower ones act first for a while.
  void SetRank(unsigned aRank) { mRank = aRank; }

  /// Sets the primary to follow. aIsPromotedHere is true if it was promoted by
  /// this pooler, which then acts first.
  void SetPrimary(const primary_ref& aPrimary, bool aIsPromotedHere);

  void FollowAnswered(const upstream::server_id& aServer);

  void Tick(clock::time_point aNow, std::vector<action>& aOut);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  struct pending_follow
  {
    std::optional<clock::time_point> sentAt;
    clock::time_point nextTry;
  };

  [[nodiscard]] bool NeedsFollow(const server_view& aServer) const;

  const server_monitor& mMonitor;
  std::chrono::milliseconds mProbeInterval;
  std::chrono::milliseconds mTimeout;
  unsigned mRank;
  primary_ref mPrimary;
  bool mIsPromotedHere = false;
  absl::btree_map<upstream::server_id, pending_follow> mPending;
};

} // namespace currantshed::failover

#endif
