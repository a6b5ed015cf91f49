#ifndef CURRANTSHED_CLOCK_NOW_HPP
#define CURRANTSHED_CLOCK_NOW_HPP

#include "currantshed/clock/time.hpp"

namespace currantshed::clock {

/// Current time of the steady clock. Only for adapters to sockets; engines get
/// the time as a parameter.
[[nodiscard]] inline time_point
Now() noexcept
{
  return std::chrono::steady_clock::now();
}

} // namespace currantshed::clock

#endif
