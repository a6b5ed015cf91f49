#ifndef CURRANTSHED_FAILOVER_DETECTOR_HPP
#define CURRANTSHED_FAILOVER_DETECTOR_HPP

#include <string>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"

namespace currantshed::failover {

/// Why a group needs another primary.
enum class cause
{
  /// It does not.
  kNone,
  /// A majority of the group, or enough poolers, lost the primary.
  kLost,
  /// A majority has seen no primary for some time: its promoter is gone, or
  /// there never was one.
  kNoPrimary,
  /// The primary's server is marked leaving and another one has caught up.
  kLeaving,
  /// A server holds a higher term than the primary in force and can't join
  /// it: the group has to be brought to a term above.
  kHigherTerm,
};

/// Judges from probes and the other owners' words whether the group needs
/// another primary. One cut-off pooler never comes to that by itself: it
/// takes a majority of the group's servers, each asked directly, or poolers
/// in a majority of the failure domains. One that does not reach a majority
/// of the servers judges nothing.
class detector
{
public:
  explicit detector(const coordinator_settings& aSettings);

  void SetOwners(unsigned aOwners) { mOwners = aOwners; }

  void PeerSuspects(const std::string& aVm,
                    const std::string& aFailureDomain,
                    const suspicion& aReport,
                    clock::time_point aNow);

  /// Judges anew; aPrimary is the primary known now.
  [[nodiscard]] cause Assess(const server_monitor& aMonitor,
                             const primary_ref& aPrimary,
                             clock::time_point aNow);

  /// When silence alone changes the judgement next.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  struct peer_suspicion
  {
    std::string failureDomain;
    suspicion report;
    clock::time_point receivedAt;
  };

  // Since when a condition has held without a break.
  struct sustained_condition
  {
    bool holds = false;
    clock::time_point since;

    void Set(bool aHolds, clock::time_point aNow);
    [[nodiscard]] bool For(clock::duration aTime, clock::time_point aNow) const;
  };

  [[nodiscard]] bool LostByServers(const server_monitor& aMonitor,
                                   const primary_ref& aPrimary,
                                   clock::time_point aNow) const;
  [[nodiscard]] bool LostByPoolers(const server_monitor& aMonitor,
                                   const primary_ref& aPrimary,
                                   clock::time_point aNow) const;

  std::string mDomain;
  std::chrono::milliseconds mSuspectAfter;
  clock::duration mLostAfter;
  clock::duration mNoPrimaryAfter;
  unsigned mOwners;
  primary_ref mJudged;
  absl::btree_map<std::string, peer_suspicion> mPeerSuspicions;
  sustained_condition mLost;
  sustained_condition mNoPrimary;
  sustained_condition mHigherTerm;
  sustained_condition mLeaving;
};

} // namespace currantshed::failover

#endif
