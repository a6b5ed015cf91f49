#ifndef CURRANTSHED_FAILOVER_DETECTOR_HPP
#define CURRANTSHED_FAILOVER_DETECTOR_HPP

#include <string>

#include <absl/container/btree_map.h>

#include "currantshed/failover/server_monitor.hpp"

namespace currantshed::failover {

/// Reason for a change of the primary.
enum class cause
{
  /// No change is needed.
  kNone,
  /// A majority of the servers, or enough poolers, lost contact with the
  /// primary.
  kLost,
  /// A majority has seen no primary for some time: its promoter stopped, or
  /// there never was a primary.
  kNoPrimary,
  /// The server of the primary is marked as leaving and another one has caught
  /// up.
  kLeaving,
  /// A server holds a higher term than the primary in force and cannot join it;
  /// the group has to move to a term above.
  kHigherTerm,
};

/// Failure detector: decides from probes and the reports of the other owners
/// whether the group needs another primary. A pooler that is cut off never
/// decides so alone: it takes a majority of the group's servers, each probed
/// directly, or poolers in a majority of the failure domains. A pooler that
/// does not reach a majority of the servers decides nothing.
class detector
{
public:
  explicit detector(const coordinator_settings& aSettings);

  void SetOwners(unsigned aOwners) { mOwners = aOwners; }

  void PeerSuspects(const std::string& aVm,
                    const std::string& aFailureDomain,
                    const suspicion& aReport,
                    clock::time_point aNow);

  /// Evaluates the current state; aPrimary is the primary known now.
  [[nodiscard]] cause Assess(const server_monitor& aMonitor,
                             const primary_ref& aPrimary,
                             clock::time_point aNow);

  /// When the result may next change without a new event.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  struct peer_suspicion
  {
    std::string failureDomain;
    suspicion report;
    clock::time_point receivedAt;
  };

  // Start of the uninterrupted time for which a condition has held.
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
  primary_ref mAssessedPrimary;
  absl::btree_map<std::string, peer_suspicion> mPeerSuspicions;
  sustained_condition mLost;
  sustained_condition mNoPrimary;
  sustained_condition mHigherTerm;
  sustained_condition mLeaving;
};

} // namespace currantshed::failover

#endif
