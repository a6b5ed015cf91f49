#ifndef CURRANTSHED_FAILOVER_FOLLOWER_REPAIR_HPP
#define CURRANTSHED_FAILOVER_FOLLOWER_REPAIR_HPP

#include <optional>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"

namespace currantshed::failover {

/// Makes servers follow the primary of the group: those in a lower term, a
/// healed old primary among them, those still fenced at the primary's term,
/// and those that follow nobody. A server that can't join by its term refuses,
/// so a late word does no harm.
class follower_repair
{
public:
  follower_repair(const coordinator_settings& aSettings,
                  const server_monitor& aMonitor);

  /// Later ranks leave the work to earlier ones for a while.
  void SetRank(unsigned aRank) { mRank = aRank; }

  /// The primary to follow. aOwn tells that it was promoted here, which makes
  /// this pooler the first to act.
  void SetPrimary(const primary_ref& aPrimary, bool aOwn);

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
  bool mOwn = false;
  absl::btree_map<upstream::server_id, pending_follow> mPending;
};

} // namespace currantshed::failover

#endif
