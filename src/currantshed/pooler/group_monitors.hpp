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

/// One group that this pooler owns.
struct owned_group
{
  group::description group;
  /// Rank among the owners, from zero.
  unsigned rank = 0;
  unsigned owners = 1;
};

/// The guards of the groups that this pooler owns. A guard stays for a grace
/// when its group moves to other owners.
class group_monitors
{
public:
  group_monitors(const group_monitor::dependencies& aDependencies,
                 group_monitor::listener aListener);

  /// Takes the groups that are owned from now on.
  void Assign(const std::vector<owned_group>& aGroups, clock::time_point aNow);

  /// Hands another pooler's heartbeat to every guard.
  void Heard(const member::heartbeat& aBeat);

  /// Lets guards go whose grace is over. Not to be called from a guard's own
  /// callback.
  void ReleaseExpired(clock::time_point aNow);

  /// Who leads each guarded group, by name.
  [[nodiscard]] std::vector<member::term_update> LatestTerm() const;

private:
  group_monitor::dependencies mDependencies;
  group_monitor::listener mListener;
  ownership mOwnership;
  absl::btree_map<group::group_name, std::unique_ptr<group_monitor>> mMonitors;
};

} // namespace currantshed::pooler

#endif
