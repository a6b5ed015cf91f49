#ifndef CURRANTSHED_CLOCK_TIME_HPP
#define CURRANTSHED_CLOCK_TIME_HPP

#include <chrono>

namespace currantshed::clock {

/// A point on the process's steady clock. All expiry and every deadline uses
/// it; it is never sent to another process, which gets a duration instead.
using time_point = std::chrono::steady_clock::time_point;

/// A span of time at the clock's own precision.
using duration = std::chrono::steady_clock::duration;

/// A point on the wall clock: only for what a person reads, and for the time
/// of issue that an idempotency key carries.
using wall_time = std::chrono::system_clock::time_point;

} // namespace currantshed::clock

#endif
