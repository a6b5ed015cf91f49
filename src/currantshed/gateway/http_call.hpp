#ifndef CURRANTSHED_GATEWAY_HTTP_CALL_HPP
#define CURRANTSHED_GATEWAY_HTTP_CALL_HPP

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Names of the HTTP headers of the API.
inline constexpr std::string_view kSessionHeader = "Currantshed-Session";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kDeadlineHeader = "Currantshed-Deadline-Ms";

/// The parts of an HTTP request that a call uses. Absent headers are nullopt.
struct http_call
{
  std::string_view method;
  std::string_view target;
  std::string_view body;
  std::optional<std::string_view> session;
  std::optional<std::string_view> key;
  std::optional<std::string_view> deadline;
};

/// Parses path, headers and body of an HTTP request. Returns a gateway_error if
/// it is not a valid call; aDetail then receives a human-readable detail where
/// there is one.
[[nodiscard]] std::error_code
ReadCall(const http_call& aCall,
         caller_request& aRequest,
         std::string& aDetail);

} // namespace currantshed::gateway

#endif
