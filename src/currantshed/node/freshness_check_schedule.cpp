#include "currantshed/node/freshness_check_schedule.hpp"

#include <algorithm>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Age of a verification at which the first VM requests the next one. If the
// store becomes unavailable, requests with keys are served for the rest of the
// bound.
constexpr milliseconds kAskAfter{ 600 };
// How much longer each following VM waits: the usual time of a store call and
// of the message that disseminates the result, plus a margin.
constexpr milliseconds kStep{ 300 };
// Limits the wait, so that with any number of VMs the last ones ask well within
// the bound.
constexpr std::size_t kLastPlace = 6;
// Initial pause after a failed call, which doubles with further failures
// because each call has a cost.
constexpr milliseconds kFirstPause{ 150 };
constexpr unsigned kDoublings = 3;

} // namespace

clock::time_point
freshness_check_schedule::NextCheck(clock::time_point aProvedAt) const noexcept
{
  if (mIsAsking) {
    return clock::time_point::max();
  }
  const auto place = static_cast<int>(std::min(mPlace, kLastPlace));
  return std::max(aProvedAt + kAskAfter + kStep * place, mNotBefore);
}

void
freshness_check_schedule::OnResponse(bool aIsProof,
                                     clock::time_point aNow) noexcept
{
  mIsAsking = false;
  if (aIsProof) {
    mFailures = 0;
    return;
  }
  mNotBefore = aNow + kFirstPause * (1U << std::min(mFailures, kDoublings));
  ++mFailures;
}

} // namespace currantshed::node
