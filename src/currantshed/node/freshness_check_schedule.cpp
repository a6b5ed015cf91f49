#include "currantshed/node/freshness_check_schedule.hpp"

#include <algorithm>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// The age of a proof at which the first VM asks for the next one. Requests with
// keys go on for the rest of the bound when the store goes away.
constexpr milliseconds kAskAfter{ 600 };
// How much longer each next one waits: as long as an answer of the store and
// the word on it usually take, and time to spare.
constexpr milliseconds kStep{ 300 };
// However many VMs there are, the last ones ask well within the bound.
constexpr std::size_t kLastPlace = 6;
// Pauses after a call that failed, each of which has its price.
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
