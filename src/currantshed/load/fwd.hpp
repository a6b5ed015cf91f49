#ifndef CURRANTSHED_LOAD_FWD_HPP
#define CURRANTSHED_LOAD_FWD_HPP

#include <chrono>

namespace currantshed::load {

/// A point of a run: the time since the run's begin, on the steady clock.
using moment = std::chrono::microseconds;

enum class told;
struct findings;
struct history;
struct holding;

} // namespace currantshed::load

#endif
