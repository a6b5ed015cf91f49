#ifndef CURRANTSHED_STORE_CALL_TIMEOUT_HPP
#define CURRANTSHED_STORE_CALL_TIMEOUT_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// Returns the timeout of a call to the store. A VM that has not read the store
/// since its start cannot serve. A call sent while the store was down is never
/// answered, but a retry may be, so the first calls after a start time out
/// early. The timeout then grows with the time since the start, so that a slow
/// store, or a large document on a slow link, succeeds eventually.
[[nodiscard]] std::chrono::milliseconds
CallTimeout(clock::duration aSinceStart, bool aHasRead) noexcept;

/// Returns how long a watch waits for changes, in a store that keeps its
/// changes for the given time; zero if that is not known. The next watch starts
/// from what the last one returned, and so do those of the VMs that changes are
/// forwarded to. It must not find these changes dropped, or each of them reads
/// all keys.
[[nodiscard]] std::chrono::milliseconds
WatchWait(std::chrono::milliseconds aHistory) noexcept;

} // namespace currantshed::store

#endif
