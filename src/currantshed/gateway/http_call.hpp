#ifndef CURRANTSHED_GATEWAY_HTTP_CALL_HPP
#define CURRANTSHED_GATEWAY_HTTP_CALL_HPP

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Names of the headers that belong to a call.
inline constexpr std::string_view kSessionHeader = "Currantshed-Session";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kDeadlineHeader = "Currantshed-Deadline-Ms";

/// One HTTP request, as far as a call needs it. Headers that were not sent
/// are none.
struct http_call
{
  std::string_view method;
  std::string_view target;
  std::string_view body;
  std::optional<std::string_view> session;
  std::optional<std::string_view> key;
  std::optional<std::string_view> deadline;
};

/// Reads an HTTP request into a caller's request: path, headers and body. An
/// error of gateway_error where it is none of the calls; aDetail then tells a
/// person more, if there is more to tell.
[[nodiscard]] std::error_code
ReadCall(const http_call& aCall,
         caller_request& aRequest,
         std::string& aDetail);

} // namespace currantshed::gateway

#endif
