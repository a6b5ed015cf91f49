#include "currantshed/node/subscribers.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long a VM that asked is told news. It asks every 400 ms, two VMs by
// turns.
constexpr milliseconds kSubscriberLife{ 2000 };
// How long a group counts as used after its last request. A VM with nine
// requests a second uses some 25 of 140 groups in this time; a group that is
// used again later costs one question to the VM that passes words on.
constexpr milliseconds kUseLife{ 3000 };

} // namespace

std::vector<std::string>
subscribers::Asked(const std::string& aVm,
                   std::vector<std::string> aGroups,
                   clock::time_point aNow)
{
  auto& one = mVms[aVm];
  one.askedAt = aNow;
  std::vector<std::string> added;
  std::copy_if(
    aGroups.begin(),
    aGroups.end(),
    std::back_inserter(added),
    [&one](const auto& aGroup) { return !one.groups.contains(aGroup); });
  one.groups = { aGroups.begin(), aGroups.end() };
  return added;
}

void
subscribers::RemoveExpired(clock::time_point aNow)
{
  absl::erase_if(mVms, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.askedAt > kSubscriberLife;
  });
}

bool
subscribers::Contains(const std::string& aVm) const
{
  return mVms.contains(aVm);
}

std::vector<std::string>
subscribers::All() const
{
  std::vector<std::string> all;
  all.reserve(mVms.size());
  for (const auto& [vm, one] : mVms) {
    all.push_back(vm);
  }
  return all;
}

absl::btree_set<std::string>
subscribers::GroupsOf(const std::string& aVm) const
{
  const auto found = mVms.find(aVm);
  return found == mVms.end() ? absl::btree_set<std::string>{}
                             : found->second.groups;
}

void
groups_in_use::MarkUsed(const std::string& aGroup, clock::time_point aAt)
{
  auto& usedAt = mUsedAt[aGroup];
  usedAt = std::max(usedAt, aAt);
}

bool
groups_in_use::Contains(const std::string& aGroup, clock::time_point aNow) const
{
  const auto found = mUsedAt.find(aGroup);
  return found != mUsedAt.end() && aNow - found->second <= kUseLife;
}

std::vector<std::string>
groups_in_use::All(clock::time_point aNow) const
{
  std::vector<std::string> all;
  for (const auto& [group, usedAt] : mUsedAt) {
    if (aNow - usedAt <= kUseLife) {
      all.push_back(group);
    }
  }
  return all;
}

} // namespace currantshed::node
