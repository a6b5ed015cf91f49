#ifndef CURRANTSHED_LEAD_INTERNAL_GROUP_MONITOR_TIMING_HPP
#define CURRANTSHED_LEAD_INTERNAL_GROUP_MONITOR_TIMING_HPP

#include <chrono>

/// Timing and limits that the source files of group_monitor share.
namespace currantshed::lead::internal {

using std::chrono::milliseconds;

// Pause before a server that did not answer is queried again.
inline constexpr milliseconds kRetryPause{ 150 };
// Pause before a server that answered that it is busy is queried again.
inline constexpr milliseconds kBusyPause{ 60 };
// How long a request keeps the demand for confirmations alive.
inline constexpr milliseconds kDemandTimeout{ 1000 };
// Consecutive unanswered queries before a server may count as lost. One of them
// may be due to a connection that has failed silently.
inline constexpr unsigned kFailuresUntilLost = 2;

} // namespace currantshed::lead::internal

#endif
