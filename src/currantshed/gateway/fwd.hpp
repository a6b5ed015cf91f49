#ifndef CURRANTSHED_GATEWAY_FWD_HPP
#define CURRANTSHED_GATEWAY_FWD_HPP

#include <cstdint>

namespace currantshed::gateway {

/// Number of one caller's request at one engine.
using request_number = std::uint64_t;

enum class call_kind;
enum class gateway_error;
enum class step;
struct caller_answer;
struct caller_request;
struct exchange;
struct shared_state;
struct transaction_handle;
struct fleet_view;
class request_engine;
class filter;
class pooler_health;
class retry_budget;

} // namespace currantshed::gateway

#endif
