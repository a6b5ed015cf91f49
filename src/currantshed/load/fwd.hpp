#ifndef CURRANTSHED_LOAD_FWD_HPP
#define CURRANTSHED_LOAD_FWD_HPP

#include <chrono>

namespace currantshed::load {

/// A point of a run: the time since the run's begin, on the steady clock.
using moment = std::chrono::microseconds;

enum class exchange_end;
enum class told;
class caller;
class http_connection;
struct answer;
struct findings;
struct history;
struct holding;
struct plan;
struct shape;

} // namespace currantshed::load

#endif
