#include "currantshed/lead/scheduling_delay.hpp"

#include <algorithm>

namespace currantshed::lead {

namespace {

// How long the worst delay counts in full, and then until it counts no more: a
// VM that was slow works off what lies unread meanwhile.
constexpr std::chrono::milliseconds kFull{ 1000 };
constexpr std::chrono::milliseconds kFading{ 2000 };
// A longer delay tells no more of what lies unread: a VM that stood still, say.
constexpr std::chrono::milliseconds kMost{ 2000 };

} // namespace

void
scheduling_delay::Record(clock::time_point aPlanned,
                         clock::time_point aAt) noexcept
{
  const auto late =
    std::clamp<clock::duration>(aAt - aPlanned, clock::duration::zero(), kMost);
  if (late >= At(aAt)) {
    mWorst = late;
    mSeenAt = aAt;
  }
}

clock::duration
scheduling_delay::At(clock::time_point aNow) const noexcept
{
  const auto since = aNow - mSeenAt;
  if (since <= kFull) {
    return mWorst;
  }
  const auto left =
    std::max<clock::duration>(kFull + kFading - since, clock::duration::zero());
  // In milliseconds, since the product of two spans in nanoseconds overflows.
  using std::chrono::milliseconds;
  const auto part = std::chrono::duration_cast<milliseconds>(left);
  return mWorst * part.count() / kFading.count();
}

} // namespace currantshed::lead
