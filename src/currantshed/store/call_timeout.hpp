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

} // namespace currantshed::store

#endif
