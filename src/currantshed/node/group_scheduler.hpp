#ifndef CURRANTSHED_NODE_GROUP_SCHEDULER_HPP
#define CURRANTSHED_NODE_GROUP_SCHEDULER_HPP

#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// Tracks which groups an event concerns, and when each other group has its
/// next scheduled action, so that the cost of an event depends on the groups
/// that it concerns and not on the number of groups. Does not read the clock.
class group_scheduler
{
public:
  /// Marks the group as pending: its group_monitor may have actions to be
  /// carried out.
  void MarkPending(const std::string& aService) { mPending.insert(aService); }

  /// Returns the groups marked since the last call, ordered by name.
  [[nodiscard]] std::vector<std::string> TakePending();

  /// Sets the time of the group's next scheduled action; time_point::max() if
  /// it only waits for events.
  void SetDue(const std::string& aService, clock::time_point aAt);

  /// Returns the groups whose time has come, ordered by name. A group remains
  /// due until it is given another time.
  [[nodiscard]] std::vector<std::string> Due(clock::time_point aNow) const;

  /// The time of the earliest scheduled action.
  [[nodiscard]] clock::time_point Next() const noexcept;

  /// Returns the groups that have a scheduled action.
  [[nodiscard]] std::vector<std::string> Scheduled() const;

private:
  absl::btree_set<std::string> mPending;
  absl::btree_map<std::string, clock::time_point> mDue;
  absl::btree_set<std::pair<clock::time_point, std::string>> mByTime;
};

} // namespace currantshed::node

#endif
