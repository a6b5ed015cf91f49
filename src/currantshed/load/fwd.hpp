#ifndef CURRANTSHED_LOAD_FWD_HPP
#define CURRANTSHED_LOAD_FWD_HPP

#include <chrono>

namespace currantshed::load {

/// Time since the start of the run, on the steady clock.
using run_offset = std::chrono::microseconds;

enum class exchange_result;
enum class change_outcome;
class caller;
class http_connection;
struct answer;
struct findings;
struct history;
struct group_contents;
struct plan;
struct shape;

} // namespace currantshed::load

#endif
