#ifndef CURRANTSHED_GATEWAY_JSON_CODEC_HPP
#define CURRANTSHED_GATEWAY_JSON_CODEC_HPP

#include <string>
#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Reads the JSON body of a call into the request, whose kind says which
/// fields the call takes. An error of gateway_error where the body isn't of
/// that form; aDetail then tells a person where, without any value of it.
[[nodiscard]] std::error_code
ReadBody(std::string_view aBody,
         caller_request& aRequest,
         std::string& aDetail);

/// Writes an answer as JSON; what does not apply is left out.
[[nodiscard]] std::string
WriteAnswer(const caller_answer& aAnswer);

/// The answer's reason as callers see it, for example `no_primary`.
[[nodiscard]] std::string_view
ReasonName(const caller_answer& aAnswer) noexcept;

/// The answer's outcome as callers see it, for example `not_run`.
[[nodiscard]] std::string_view
VerdictName(const caller_answer& aAnswer) noexcept;

/// The HTTP status that goes with an answer.
[[nodiscard]] unsigned
StatusOf(const caller_answer& aAnswer) noexcept;

} // namespace currantshed::gateway

#endif
