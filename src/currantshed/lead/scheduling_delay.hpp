#ifndef CURRANTSHED_LEAD_SCHEDULING_DELAY_HPP
#define CURRANTSHED_LEAD_SCHEDULING_DELAY_HPP

#include "currantshed/clock/time.hpp"

namespace currantshed::lead {

/// The recent maximum by which this VM runs its scheduled work late. Answers
/// and updates from other VMs may lie unread for as long, so that what looks
/// like silence of a server may be a delay of this VM (after Lifeguard: Dadgar,
/// Phillips and Currey, 2018).
class scheduling_delay
{
public:
  /// Records that work scheduled for aPlanned was done at aAt.
  void Record(clock::time_point aPlanned, clock::time_point aAt) noexcept;

  /// The maximum delay, which decays to zero over some seconds.
  [[nodiscard]] clock::duration At(clock::time_point aNow) const noexcept;

private:
  clock::duration mMax{};
  clock::time_point mMaxAt;
};

} // namespace currantshed::lead

#endif
