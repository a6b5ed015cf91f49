#include "currantshed/node/group_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::node {

std::vector<std::string>
group_scheduler::TakePending()
{
  const auto taken = std::exchange(mTouched, {});
  return { taken.begin(), taken.end() };
}

void
group_scheduler::SetDue(const std::string& aService, clock::time_point aAt)
{
  const auto before = mDue.find(aService);
  if (before != mDue.end()) {
    if (before->second == aAt) {
      return;
    }
    mByTime.erase({ before->second, aService });
    mDue.erase(before);
  }
  if (aAt != clock::time_point::max()) {
    mDue.emplace(aService, aAt);
    mByTime.emplace(aAt, aService);
  }
}

std::vector<std::string>
group_scheduler::Due(clock::time_point aNow) const
{
  std::vector<std::string> due;
  for (const auto& [at, service] : mByTime) {
    if (at > aNow) {
      break;
    }
    due.push_back(service);
  }
  std::sort(due.begin(), due.end());
  return due;
}

clock::time_point
group_scheduler::Next() const noexcept
{
  return mByTime.empty() ? clock::time_point::max() : mByTime.begin()->first;
}

std::vector<std::string>
group_scheduler::Scheduled() const
{
  std::vector<std::string> awake;
  awake.reserve(mDue.size());
  for (const auto& [service, at] : mDue) {
    awake.push_back(service);
  }
  return awake;
}

} // namespace currantshed::node
