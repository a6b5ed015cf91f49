#ifndef CURRANTSHED_STORE_CALL_TIMEOUT_HPP
#define CURRANTSHED_STORE_CALL_TIMEOUT_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// How long a call of the store waits for its answer. A VM that has started
/// and has read nothing yet serves nobody: its first calls give a store that is
/// silent less time than usual, since a call that began while the store was
/// away is never answered, and the next one may be. With each they give it
/// more, so that a slow store, or a large document on a slow link, gets
/// through.
[[nodiscard]] std::chrono::milliseconds
CallTimeout(clock::duration aSinceStart, bool aHasRead) noexcept;

} // namespace currantshed::store

#endif
