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

/// Which groups a thread of the pooler holds, and which of them it lets go:
/// those that it isn't meant to hold any more, that nothing has asked for
/// within a grace, and that have no work pending. The grace keeps connections
/// through a view that changes back and forth.
class ownership
{
public:
  explicit ownership(std::chrono::milliseconds aGrace);

  /// Takes the groups that are to be held from now on, and holds them.
  void Assign(const std::vector<group::group_name>& aGroups,
              clock::time_point aNow);

  /// Holds a group that was asked for, for a grace.
  void MarkUsed(const group::group_name& aGroup, clock::time_point aNow);

  /// Names of the groups let go now, each once.
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
