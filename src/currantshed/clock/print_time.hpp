#ifndef CURRANTSHED_CLOCK_PRINT_TIME_HPP
#define CURRANTSHED_CLOCK_PRINT_TIME_HPP

#include <string>

#include "currantshed/clock/time.hpp"

namespace currantshed::clock {

/// Formats a wall time as RFC 3339 in UTC, to the second.
[[nodiscard]] std::string
PrintTime(wall_time aTime);

/// Formats a wall time as RFC 3339 in UTC, to the millisecond.
[[nodiscard]] std::string
PrintTimeMs(wall_time aTime);

} // namespace currantshed::clock

#endif
