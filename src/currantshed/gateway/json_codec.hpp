#ifndef CURRANTSHED_GATEWAY_JSON_CODEC_HPP
#define CURRANTSHED_GATEWAY_JSON_CODEC_HPP

#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Parses the JSON body of a call into the request; the request's kind
/// determines the allowed fields. Returns a gateway_error if the body is
/// invalid; aDetail then describes the location and never contains a value of
/// the body.
[[nodiscard]] std::error_code
ReadBody(std::string_view aBody,
         caller_request& aRequest,
         std::string& aDetail);

/// Serializes a response as JSON; fields that do not apply are omitted.
[[nodiscard]] std::string
WriteAnswer(const caller_answer& aAnswer);

/// The response's reason as named in the API, for example `no_primary`.
[[nodiscard]] std::string_view
ReasonName(const caller_answer& aAnswer) noexcept;

/// The response's outcome as named in the API, for example `not_run`.
[[nodiscard]] std::string_view
VerdictName(const caller_answer& aAnswer) noexcept;

/// The HTTP status code of a response.
[[nodiscard]] unsigned
StatusOf(const caller_answer& aAnswer) noexcept;

} // namespace currantshed::gateway

#endif
