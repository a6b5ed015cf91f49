#include "currantshed/node/freshness_check_schedule.hpp"

#include <algorithm>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Age of a verification at which the first VM requests the next one. If the
// store becomes unavailable, requests with keys are served for the rest of the
// bound.
constexpr milliseconds kCheckAge{ 600 };
// How much longer each following VM waits: the usual time of a store call and
// of the message that disseminates the result, plus a margin.
constexpr milliseconds kDelayPerRank{ 300 };
// Limits the wait, so that with any number of VMs the last ones ask well within
// the bound.
constexpr std::size_t kMaxRank = 6;
// Initial pause after a failed call, which doubles with further failures
// because each call has a cost.
constexpr milliseconds kInitialBackoff{ 150 };
constexpr unsigned kMaxDoublings = 3;

} // namespace

clock::time_point
freshness_check_schedule::NextCheck(
  clock::time_point aVerifiedAt) const noexcept
{
  if (mIsInFlight) {
    return clock::time_point::max();
  }
  const auto rank = static_cast<int>(std::min(mRank, kMaxRank));
  return std::max(aVerifiedAt + kCheckAge + kDelayPerRank * rank, mNotBefore);
}

void
freshness_check_schedule::OnResponse(bool aIsVerified,
                                     clock::time_point aNow) noexcept
{
  mIsInFlight = false;
  if (aIsVerified) {
    mFailures = 0;
    return;
  }
  mNotBefore =
    aNow + kInitialBackoff * (1U << std::min(mFailures, kMaxDoublings));
  ++mFailures;
}

} // namespace currantshed::node
