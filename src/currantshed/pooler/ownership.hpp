#ifndef CURRANTSHED_POOLER_OWNERSHIP_HPP
#define CURRANTSHED_POOLER_OWNERSHIP_HPP

#include <chrono>
#include <functional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/pooler/fwd.hpp"

namespace currantshed::pooler {

/// Decides which groups a thread of the pooler keeps. A group is released once
/// it is no longer assigned, has not been used within the grace period, and has
/// no work pending. The grace period preserves connections when the assignment
/// alternates between VMs.
class ownership
{
public:
  explicit ownership(std::chrono::milliseconds aGrace);

  /// Sets the assigned groups, and marks them as used.
  void Assign(const std::vector<group::group_name>& aGroups,
              clock::time_point aNow);

  /// Marks a group as used, which keeps it for the grace period.
  void MarkUsed(const group::group_name& aGroup, clock::time_point aNow);

  /// Removes the groups that are due for release and returns their names.
  [[nodiscard]] std::vector<group::group_name> ReleaseExpired(
    const std::function<bool(const group::group_name&)>& aHasWork,
    clock::time_point aNow);

  [[nodiscard]] bool Holds(const group::group_name& aGroup) const;

private:
  std::chrono::milliseconds mGrace;
  absl::flat_hash_set<group::group_name> mAssigned;
  absl::flat_hash_map<group::group_name, clock::time_point> mLastUse;
};

} // namespace currantshed::pooler

#endif
