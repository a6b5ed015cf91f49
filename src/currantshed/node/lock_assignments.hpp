#ifndef CURRANTSHED_NODE_LOCK_ASSIGNMENTS_HPP
#define CURRANTSHED_NODE_LOCK_ASSIGNMENTS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/node/cluster_state.hpp"

namespace currantshed::node {

/// The VMs that are eligible for failover locks: those that are listed, are not
/// draining and are delegates. Concentrating the locks of many groups on few
/// VMs keeps watch updates batched and connections to servers few, and lets all
/// other VMs use leases that cost half as much to renew.
[[nodiscard]] absl::btree_set<std::string>
LockCandidates(const cluster_state& aState);

/// Tracks the holder of each group's failover lock and, for each lock that no
/// candidate holds, the candidate that is to acquire it. All VMs agree on it by
/// rendezvous hashing. Updates are incremental: a new VM costs one hash per
/// vacant group, and a lost VM costs a check of the groups that it held or was
/// to take. Does no I/O.
class lock_assignments
{
public:
  explicit lock_assignments(std::string aSelf);

  /// Starts to track the group. Has no effect if the group is known.
  void AddService(const cluster_state& aState, const std::string& aService);

  /// Replaces the set of eligible VMs. Locks held by VMs outside the set are
  /// taken over.
  void SetCandidates(const cluster_state& aState,
                     absl::btree_set<std::string> aCandidates);

  /// To be called after the record of the VM or of the lock was changed or
  /// removed.
  void OnVmChanged(const cluster_state& aState, const std::string& aVm);
  void OnLockChanged(const cluster_state& aState, const std::string& aService);

  /// To be called after any record may have changed.
  void OnAllChanged(const cluster_state& aState);

  /// Whether this VM is to acquire the group's lock, which no candidate holds.
  [[nodiscard]] bool IsNextHolder(const std::string& aService) const;

  /// Whether a candidate that is listed and not draining holds the lock.
  [[nodiscard]] bool IsHeld(const std::string& aService) const;

  /// The groups whose lock this VM holds according to the record, or is to
  /// acquire.
  [[nodiscard]] const absl::btree_set<std::string>& OwnGroups() const noexcept
  {
    return mOwn;
  }

  /// Returns the VMs that hold locks according to the records, listed or not,
  /// ordered by name.
  [[nodiscard]] std::vector<std::string> Holders() const;

  /// Returns the groups whose record, or whose result of OwnGroups or IsHeld,
  /// may have changed since the last call.
  [[nodiscard]] absl::btree_set<std::string> TakeChangedGroups();

  /// Number of hash scores computed so far, as a measure of work.
  [[nodiscard]] std::uint64_t ScoresComputed() const noexcept
  {
    return mScored;
  }

private:
  struct candidate
  {
    std::uint64_t score = 0;
    std::string vm;
  };

  struct group
  {
    // According to the record; empty if there is none.
    std::string holder;
    bool isHeld = false;
    // The candidate with the highest score while the lock is vacant.
    std::optional<candidate> best;
  };

  using groups = absl::btree_map<std::string, group>;

  void UpdateBest(const std::string& aService,
                  const std::vector<std::string>& aAdded);
  void Compare(const std::string& aService,
               group& aGroup,
               const std::string& aVm);
  void Choose(const std::string& aService, group& aGroup);
  void UpdateHeld(const cluster_state& aState,
                  const std::string& aService,
                  group& aGroup);
  void SetHolder(const std::string& aService,
                 group& aGroup,
                 const std::string& aHolder);
  void MarkChanged(const std::string& aService, const group& aGroup);

  std::string mSelf;
  absl::btree_set<std::string> mCandidates;
  groups mGroups;
  absl::btree_set<std::string> mVacant;
  absl::btree_map<std::string, absl::btree_set<std::string>> mByHolder;
  absl::btree_set<std::string> mOwn;
  absl::btree_set<std::string> mChanged;
  std::uint64_t mScored = 0;
};

} // namespace currantshed::node

#endif
