#ifndef CURRANTSHED_NODE_SUBSCRIBERS_HPP
#define CURRANTSHED_NODE_SUBSCRIBERS_HPP

#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// The VMs that ask this one for news, each with the groups whose requests it
/// has lately had. Words on other groups would cost it more than its callers:
/// with 140 groups before 100 VMs, all words to all took 112 KB a second of
/// each VM's link. Asks for no time.
class subscribers
{
public:
  /// A VM has asked, and named the groups that it wants words on. Returns those
  /// that it had not named before: it has had no words on them.
  std::vector<std::string> Asked(const std::string& aVm,
                                 std::vector<std::string> aGroups,
                                 clock::time_point aNow);

  /// Forgets those that have not asked for a while.
  void RemoveExpired(clock::time_point aNow);

  [[nodiscard]] bool Contains(const std::string& aVm) const;
  [[nodiscard]] bool Empty() const noexcept { return mVms.empty(); }

  /// All that ask, by name.
  [[nodiscard]] std::vector<std::string> All() const;

  /// The groups that the VM wants words on.
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

/// The groups whose requests this VM has lately had.
class groups_in_use
{
public:
  void MarkUsed(const std::string& aGroup, clock::time_point aAt);

  /// Whether the group counts as used.
  [[nodiscard]] bool Contains(const std::string& aGroup,
                              clock::time_point aNow) const;

  [[nodiscard]] std::vector<std::string> All(clock::time_point aNow) const;

private:
  absl::btree_map<std::string, clock::time_point> mUsedAt;
};

} // namespace currantshed::node

#endif
