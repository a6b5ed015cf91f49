#include "currantshed/lead/scheduling_delay.hpp"

#include <algorithm>

namespace currantshed::lead {

namespace {

// How long the maximum delay is reported in full, and how long it then takes to
// decay to zero. In this time a VM that was slow processes its backlog of
// messages.
constexpr std::chrono::milliseconds kFull{ 1000 };
constexpr std::chrono::milliseconds kFading{ 2000 };
// Upper limit of a recorded delay. A longer one, for example of a VM that was
// paused, does not mean a longer backlog.
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
  // Computed in milliseconds, because the product of two durations in
  // nanoseconds overflows.
  using std::chrono::milliseconds;
  const auto part = std::chrono::duration_cast<milliseconds>(left);
  return mWorst * part.count() / kFading.count();
}

} // namespace currantshed::lead
