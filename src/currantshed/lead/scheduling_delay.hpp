#ifndef CURRANTSHED_LEAD_SCHEDULING_DELAY_HPP
#define CURRANTSHED_LEAD_SCHEDULING_DELAY_HPP

#include "currantshed/clock/time.hpp"

namespace currantshed::lead {

/// How late this VM does what it planned to do, at the worst lately: by that
/// much answers and other VMs' words may lie unread, and what looks like
/// another one's silence is its own (after Lifeguard: Dadgar, Phillips and
/// Currey, 2018).
class scheduling_delay
{
public:
  /// Something that was planned for one time has been done at another one.
  void Record(clock::time_point aPlanned, clock::time_point aAt) noexcept;

  /// The longest delay; fades over some seconds.
  [[nodiscard]] clock::duration At(clock::time_point aNow) const noexcept;

private:
  clock::duration mWorst{};
  clock::time_point mSeenAt;
};

} // namespace currantshed::lead

#endif
