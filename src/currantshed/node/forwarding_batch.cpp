#include "currantshed/node/forwarding_batch.hpp"

#include <algorithm>
#include <tuple>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long reach updates of several VMs are batched: less than half of the 600
// ms for which a primary counts as reachable after it was heard.
constexpr milliseconds kReachDelay{ 250 };
// The same for acknowledgements, which a change of the primary waits for.
constexpr milliseconds kAcknowledgementDelay{ 15 };

bool
IsNewer(const lead::reach_update& aLeft, const lead::reach_update& aRight)
{
  return std::tie(aLeft.term, aLeft.heardAt) >
         std::tie(aRight.term, aRight.heardAt);
}

} // namespace

void
forwarding_batch::AddGroup(const std::string& aService,
                           bool aIsUrgent,
                           clock::time_point aNow)
{
  mGroups.insert(aService);
  // Watch updates that are not urgent wait for the pause that is passed to
  // TakeGroups.
  mGroupsDueAt = std::min(mGroupsDueAt, aIsUrgent ? clock::time_point{} : aNow);
}

std::vector<std::string>
forwarding_batch::TakeGroups(milliseconds aPause, clock::time_point aNow)
{
  if (mGroups.empty()) {
    return {};
  }
  const bool isUrgent = mGroupsDueAt == clock::time_point{};
  if (!isUrgent && aNow < mLastTaken + aPause) {
    mGroupsDueAt = mLastTaken + aPause;
    return {};
  }
  std::vector<std::string> taken(mGroups.begin(), mGroups.end());
  mGroups.clear();
  mGroupsDueAt = clock::time_point::max();
  mLastTaken = aNow;
  return taken;
}

void
forwarding_batch::AddReachUpdate(forwarded_reach_update aReach,
                                 clock::time_point aNow)
{
  const bool acknowledges = aReach.update.acknowledgedTerm != 0;
  mReachUpdatesDueAt =
    std::min(mReachUpdatesDueAt,
             aNow + (acknowledges ? kAcknowledgementDelay : kReachDelay));
  if (acknowledges) {
    mAcknowledged[{ aReach.service, aReach.vm }] = aReach;
  }
  auto& latest = mLatest[aReach.service];
  if (latest.vm.empty() || IsNewer(aReach.update, latest.update)) {
    latest = std::move(aReach);
  }
}

std::vector<forwarded_reach_update>
forwarding_batch::TakeReachUpdates(clock::time_point aNow)
{
  std::vector<forwarded_reach_update> taken;
  if (aNow < mReachUpdatesDueAt) {
    return taken;
  }
  for (auto& [service, one] : mLatest) {
    if (!mAcknowledged.contains({ service, one.vm })) {
      taken.push_back(std::move(one));
    }
  }
  for (auto& [key, one] : mAcknowledged) {
    taken.push_back(std::move(one));
  }
  mLatest.clear();
  mAcknowledged.clear();
  mReachUpdatesDueAt = clock::time_point::max();
  return taken;
}

clock::time_point
forwarding_batch::NextTick() const noexcept
{
  return std::min(mGroupsDueAt, mReachUpdatesDueAt);
}

} // namespace currantshed::node
