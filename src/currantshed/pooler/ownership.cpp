#include "currantshed/pooler/ownership.hpp"

#include <algorithm>

namespace currantshed::pooler {

ownership::ownership(std::chrono::milliseconds aGrace)
  : mGrace(aGrace)
{
}

void
ownership::Assign(const std::vector<group::group_name>& aGroups,
                  clock::time_point aNow)
{
  for (const auto& group : mAssigned) {
    mLastUse[group] = aNow;
  }
  mAssigned.clear();
  for (const auto& group : aGroups) {
    mAssigned.insert(group);
    mLastUse[group] = aNow;
  }
}

void
ownership::MarkUsed(const group::group_name& aGroup, clock::time_point aNow)
{
  mLastUse[aGroup] = aNow;
}

std::vector<group::group_name>
ownership::ReleaseExpired(
  const std::function<bool(const group::group_name&)>& aHasWork,
  clock::time_point aNow)
{
  std::vector<group::group_name> released;
  for (const auto& [group, lastUse] : mLastUse) {
    const bool isOver = aNow - lastUse >= mGrace;
    if (isOver && !mAssigned.contains(group) && !aHasWork(group)) {
      released.push_back(group);
    }
  }
  for (const auto& group : released) {
    mLastUse.erase(group);
  }
  std::sort(released.begin(), released.end());
  return released;
}

bool
ownership::Holds(const group::group_name& aGroup) const
{
  return mLastUse.contains(aGroup);
}

} // namespace currantshed::pooler
