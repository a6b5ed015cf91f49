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

/// The VMs that may have duties: those that are listed, stay and work for
/// others. Few VMs with many groups each tell of them in few messages, keep few
/// connections to servers, and let all others have leases that cost half.
[[nodiscard]] absl::btree_set<std::string>
LockCandidates(const cluster_state& aKeys);

/// Who holds the duty of each group, and which of the candidates is to take
/// each one that none of them holds: the one that all agree on by hashing. Kept
/// up change by change, so that a VM that comes costs one hash for each vacant
/// group, and one that goes a look at the groups that it held or was to take.
/// Does no I/O.
class lock_assignments
{
public:
  explicit lock_assignments(std::string aSelf);

  /// There is such a group.
  void AddService(const cluster_state& aKeys, const std::string& aService);

  /// The VMs that may have duties. What another one holds is taken over.
  void SetCandidates(const cluster_state& aKeys,
                     absl::btree_set<std::string> aCandidates);

  /// The VM's record, or the duty's, is another one now, or is gone.
  void OnVmChanged(const cluster_state& aKeys, const std::string& aVm);
  void OnLockChanged(const cluster_state& aKeys, const std::string& aService);

  /// All records may be others.
  void OnAllChanged(const cluster_state& aKeys);

  /// Whether this VM is to take the group's duty, which nobody holds.
  [[nodiscard]] bool IsNextHolder(const std::string& aService) const;

  /// Whether a candidate that is listed and stays holds the duty.
  [[nodiscard]] bool IsHeld(const std::string& aService) const;

  /// The groups whose duty this VM has by the record, or is to take.
  [[nodiscard]] const absl::btree_set<std::string>& OwnGroups() const noexcept
  {
    return mOwn;
  }

  /// The VMs that have duties by the records, listed or not, by name.
  [[nodiscard]] std::vector<std::string> Holders() const;

  /// The groups whose record, or whose standing by Own or IsHeld, may have
  /// changed since this was last called.
  [[nodiscard]] absl::btree_set<std::string> TakeChangedGroups();

  /// Hashes that were worked out; counts work.
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
    // By the record; empty where there is none.
    std::string holder;
    bool isHeld = false;
    // The best VM while nobody holds it.
    std::optional<candidate> best;
  };

  using groups = absl::btree_map<std::string, group>;

  void Reconsider(const std::string& aService,
                  const std::vector<std::string>& aCome);
  void Compare(const std::string& aService,
               group& aGroup,
               const std::string& aVm);
  void Choose(const std::string& aService, group& aGroup);
  void Recheck(const cluster_state& aKeys,
               const std::string& aService,
               group& aGroup);
  void SetHolder(const std::string& aService,
                 group& aGroup,
                 const std::string& aHolder);
  void Note(const std::string& aService, const group& aGroup);

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
