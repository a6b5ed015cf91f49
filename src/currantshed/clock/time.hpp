#ifndef CURRANTSHED_CLOCK_TIME_HPP
#define CURRANTSHED_CLOCK_TIME_HPP

#include <chrono>

namespace currantshed::clock {

/// A time of the process's steady clock, used for all expiry and deadlines. It
/// is never sent to another process; a duration is sent instead.
using time_point = std::chrono::steady_clock::time_point;

/// A duration in the resolution of the steady clock.
using duration = std::chrono::steady_clock::duration;

/// A wall clock time. Used only for output to people and for the time of issue
/// in an idempotency key.
using wall_time = std::chrono::system_clock::time_point;

} // namespace currantshed::clock

#endif
