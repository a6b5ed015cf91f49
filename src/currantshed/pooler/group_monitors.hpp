#ifndef CURRANTSHED_POOLER_GROUP_MONITORS_HPP
#define CURRANTSHED_POOLER_GROUP_MONITORS_HPP

#include <memory>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/description.hpp"
#include "currantshed/member/membership.hpp"
#include "currantshed/pooler/fwd.hpp"
#include "currantshed/pooler/group_monitor.hpp"
#include "currantshed/pooler/ownership.hpp"

namespace currantshed::pooler {

/// A group that this pooler owns.
struct owned_group
{
  group::description group;
  /// Rank among the owners, starting at zero.
  unsigned rank = 0;
  unsigned owners = 1;
};

/// The monitors of the groups that this pooler owns. A monitor is kept for a
/// grace period after its group has moved to other owners.
class group_monitors
{
public:
  group_monitors(const group_monitor::dependencies& aDependencies,
                 group_monitor::listener aListener);

  /// Sets the groups that are owned from now on.
  void Assign(const std::vector<owned_group>& aGroups, clock::time_point aNow);

  /// Passes another pooler's heartbeat to every monitor.
  void OnHeartbeat(const member::heartbeat& aBeat);

  /// Destroys the monitors whose grace period has expired. Must not be called
  /// from a monitor's own callback.
  void ReleaseExpired(clock::time_point aNow);

  /// The latest term and primary of each monitored group, sorted by group name.
  [[nodiscard]] std::vector<member::term_update> LatestTerm() const;

private:
  group_monitor::dependencies mDependencies;
  group_monitor::listener mListener;
  ownership mOwnership;
  absl::btree_map<group::group_name, std::unique_ptr<group_monitor>> mMonitors;
};

} // namespace currantshed::pooler

#endif
