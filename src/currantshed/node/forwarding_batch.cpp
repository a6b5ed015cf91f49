#include "currantshed/node/forwarding_batch.hpp"

#include <algorithm>
#include <tuple>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// How long words of several VMs are gathered. A primary counts as reached for
// 600 ms after it was heard, of which this is less than half.
constexpr milliseconds kReachPause{ 250 };
// The same while a change of a primary waits for them.
constexpr milliseconds kObeyedPause{ 15 };

bool
IsFresher(const lead::reach_update& aLeft, const lead::reach_update& aRight)
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
  mWords.insert(aService);
  // Not urgent words wait for their pause, which TakeGroups knows.
  mWordsAt = std::min(mWordsAt, aIsUrgent ? clock::time_point{} : aNow);
}

std::vector<std::string>
forwarding_batch::TakeGroups(milliseconds aPause, clock::time_point aNow)
{
  if (mWords.empty()) {
    return {};
  }
  const bool isUrgent = mWordsAt == clock::time_point{};
  if (!isUrgent && aNow < mLastWords + aPause) {
    mWordsAt = mLastWords + aPause;
    return {};
  }
  std::vector<std::string> taken(mWords.begin(), mWords.end());
  mWords.clear();
  mWordsAt = clock::time_point::max();
  mLastWords = aNow;
  return taken;
}

void
forwarding_batch::AddReachUpdate(forwarded_reach_update aReach,
                                 clock::time_point aNow)
{
  const bool obeys = aReach.news.acknowledgedTerm != 0;
  mReachesAt =
    std::min(mReachesAt, aNow + (obeys ? kObeyedPause : kReachPause));
  if (obeys) {
    mObeyed[{ aReach.service, aReach.vm }] = aReach;
  }
  auto& freshest = mFreshest[aReach.service];
  if (freshest.vm.empty() || IsFresher(aReach.news, freshest.news)) {
    freshest = std::move(aReach);
  }
}

std::vector<forwarded_reach_update>
forwarding_batch::TakeReachUpdates(clock::time_point aNow)
{
  std::vector<forwarded_reach_update> taken;
  if (aNow < mReachesAt) {
    return taken;
  }
  for (auto& [service, one] : mFreshest) {
    if (!mObeyed.contains({ service, one.vm })) {
      taken.push_back(std::move(one));
    }
  }
  for (auto& [key, one] : mObeyed) {
    taken.push_back(std::move(one));
  }
  mFreshest.clear();
  mObeyed.clear();
  mReachesAt = clock::time_point::max();
  return taken;
}

clock::time_point
forwarding_batch::NextTick() const noexcept
{
  return std::min(mWordsAt, mReachesAt);
}

} // namespace currantshed::node
