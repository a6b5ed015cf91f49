#ifndef CURRANTSHED_NODE_GROUP_SCHEDULER_HPP
#define CURRANTSHED_NODE_GROUP_SCHEDULER_HPP

#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// Which groups an event has to do with, and when each of the others next has
/// something to do, so that an event costs the groups that it concerns, not all
/// that there are. Asks for no time.
class group_scheduler
{
public:
  /// Something was told to the group's lead; what it asks for is to be done.
  void Touch(const std::string& aService) { mTouched.insert(aService); }

  /// The groups that were touched since this was last called, by name.
  [[nodiscard]] std::vector<std::string> TakePending();

  /// When the group next has something to do by itself; the end of time where
  /// it waits for others.
  void SetDue(const std::string& aService, clock::time_point aAt);

  /// The groups whose time has come, by name. Each stays due until it is given
  /// another time.
  [[nodiscard]] std::vector<std::string> Due(clock::time_point aNow) const;

  /// When the next group has something to do.
  [[nodiscard]] clock::time_point Next() const noexcept;

  /// The groups that have something to do by themselves at some time.
  [[nodiscard]] std::vector<std::string> Scheduled() const;

private:
  absl::btree_set<std::string> mTouched;
  absl::btree_map<std::string, clock::time_point> mDue;
  absl::btree_set<std::pair<clock::time_point, std::string>> mByTime;
};

} // namespace currantshed::node

#endif
