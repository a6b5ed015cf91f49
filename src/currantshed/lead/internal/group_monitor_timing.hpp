#ifndef CURRANTSHED_LEAD_INTERNAL_GROUP_MONITOR_TIMING_HPP
#define CURRANTSHED_LEAD_INTERNAL_GROUP_MONITOR_TIMING_HPP

#include <chrono>

/// Times and counts that the parts of group_monitor share.
namespace currantshed::lead::internal {

using std::chrono::milliseconds;

// Pause before the same server is asked again when it did not answer.
inline constexpr milliseconds kRetryPause{ 150 };
// The same for one that answered that it is busy.
inline constexpr milliseconds kBusyPause{ 60 };
// How long a wish for proof lasts.
inline constexpr milliseconds kDemandLife{ 1000 };
// Questions in a row without an answer before a server may count as lost: one
// may be owed to a connection that went silent.
inline constexpr unsigned kFailuresToLose = 2;

} // namespace currantshed::lead::internal

#endif
