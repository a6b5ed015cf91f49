#include "currantshed/lead/scheduling_delay.hpp"

#include <algorithm>

namespace currantshed::lead {

namespace {

// How long the maximum delay is reported in full, and how long it then takes to
// decay to zero. In this time a VM that was slow processes its backlog of
// messages.
constexpr std::chrono::milliseconds kHoldTime{ 1000 };
constexpr std::chrono::milliseconds kDecayTime{ 2000 };
// Upper limit of a recorded delay. A longer one, for example of a VM that was
// paused, does not mean a longer backlog.
constexpr std::chrono::milliseconds kMaxDelay{ 2000 };

} // namespace

void
scheduling_delay::Record(clock::time_point aPlanned,
                         clock::time_point aAt) noexcept
{
  const auto delay = std::clamp<clock::duration>(
    aAt - aPlanned, clock::duration::zero(), kMaxDelay);
  if (delay >= At(aAt)) {
    mMax = delay;
    mMaxAt = aAt;
  }
}

clock::duration
scheduling_delay::At(clock::time_point aNow) const noexcept
{
  const auto since = aNow - mMaxAt;
  if (since <= kHoldTime) {
    return mMax;
  }
  const auto left = std::max<clock::duration>(kHoldTime + kDecayTime - since,
                                              clock::duration::zero());
  // Computed in milliseconds, because the product of two durations in
  // nanoseconds overflows.
  using std::chrono::milliseconds;
  const auto part = std::chrono::duration_cast<milliseconds>(left);
  return mMax * part.count() / kDecayTime.count();
}

} // namespace currantshed::lead
