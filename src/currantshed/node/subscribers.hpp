#ifndef CURRANTSHED_NODE_SUBSCRIBERS_HPP
#define CURRANTSHED_NODE_SUBSCRIBERS_HPP

#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// The VMs that poll this one for updates, each with the groups whose requests
/// it recently served. Watch updates are sent only for these groups: with 140
/// groups and 100 VMs, sending all watch updates to all VMs used 112 KB/s of
/// each VM's link. Does not read the clock.
class subscribers
{
public:
  /// Records a poll of a VM and the groups that it subscribes to. Returns the
  /// groups that are new in its subscription, for which it has had no watch
  /// updates yet.
  std::vector<std::string> Subscribe(const std::string& aVm,
                                     std::vector<std::string> aGroups,
                                     clock::time_point aNow);

  /// Removes the VMs that have not polled for a while.
  void RemoveExpired(clock::time_point aNow);

  [[nodiscard]] bool Contains(const std::string& aVm) const;
  [[nodiscard]] bool Empty() const noexcept { return mVms.empty(); }

  /// All subscribed VMs, ordered by name.
  [[nodiscard]] std::vector<std::string> All() const;

  /// The groups that the VM subscribes to.
  [[nodiscard]] absl::btree_set<std::string> GroupsOf(
    const std::string& aVm) const;

private:
  struct subscriber
  {
    clock::time_point askedAt;
    absl::btree_set<std::string> groups;
  };

  absl::btree_map<std::string, subscriber> mVms;
};

/// The groups whose requests this VM recently served.
class groups_in_use
{
public:
  void MarkUsed(const std::string& aGroup, clock::time_point aAt);

  /// Whether the group was used recently.
  [[nodiscard]] bool Contains(const std::string& aGroup,
                              clock::time_point aNow) const;

  [[nodiscard]] std::vector<std::string> All(clock::time_point aNow) const;

private:
  absl::btree_map<std::string, clock::time_point> mUsedAt;
};

} // namespace currantshed::node

#endif
