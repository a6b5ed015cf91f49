#ifndef CURRANTSHED_NODE_FORWARDING_BATCH_HPP
#define CURRANTSHED_NODE_FORWARDING_BATCH_HPP

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/lead/group_monitor.hpp"

namespace currantshed::node {

/// Another VM's reach update on a group's primary.
struct forwarded_reach_update
{
  std::string service;
  std::string vm;
  lead::reach_update update;
};

/// Batches the updates that a forwarder passes between the VMs that monitor
/// groups and the other VMs of its failure domain: one message about several
/// groups costs a VM much less than one message per group. Does not read the
/// clock and does no I/O.
class forwarding_batch
{
public:
  /// Records that there is a newer watch update for the group. One that a
  /// change of the primary waits for is urgent.
  void AddGroup(const std::string& aService,
                bool aIsUrgent,
                clock::time_point aNow);

  /// Returns the groups whose watch updates are due, or none before that time.
  /// aPause is the minimum time between two batches.
  [[nodiscard]] std::vector<std::string> TakeGroups(
    std::chrono::milliseconds aPause,
    clock::time_point aNow);

  /// Adds the reach update of another VM. The VM that monitors a group needs
  /// only the most recent state of reachability, but every acknowledgement of a
  /// revoked term.
  void AddReachUpdate(forwarded_reach_update aReach, clock::time_point aNow);

  /// Returns the reach updates that are due, or none before that time.
  [[nodiscard]] std::vector<forwarded_reach_update> TakeReachUpdates(
    clock::time_point aNow);

  [[nodiscard]] clock::time_point NextTick() const noexcept;

private:
  absl::btree_set<std::string> mGroups;
  clock::time_point mGroupsDueAt = clock::time_point::max();
  clock::time_point mLastTaken{};
  /// The most recent reach update, by group.
  absl::btree_map<std::string, forwarded_reach_update> mLatest;
  /// Acknowledgements, by group and VM.
  absl::btree_map<std::pair<std::string, std::string>, forwarded_reach_update>
    mAcknowledged;
  clock::time_point mReachUpdatesDueAt = clock::time_point::max();
};

} // namespace currantshed::node

#endif
