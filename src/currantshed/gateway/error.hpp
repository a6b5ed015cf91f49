#ifndef CURRANTSHED_GATEWAY_ERROR_HPP
#define CURRANTSHED_GATEWAY_ERROR_HPP

#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Errors in a caller's request that make the gateway reject it before anything
/// is sent to a pooler.
enum class gateway_error
{
  kMalformedRequest = 1,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kNotFound,
  kMethodNotAllowed,
  kMalformedBody,
  kUnknownField,
  kMissingField,
  kParameterKind,
  kNoStatement,
  kTooManyStatements,
  kStatementTooLarge,
  kTooManyParameters,
  kUnknownClass,
  kUnknownGroup,
  kGroupNotAllowed,
  kReadOnlyClass,
  kMalformedDeadline,
  kMalformedKey,
  kKeyMismatch,
  kMalformedToken,
  kUntrustedToken,
  kBadTokenSignature,
  kMalformedTransaction,
  kUntrustedTransaction,
};

/// The category of the gateway's errors. Its messages are sent to callers.
[[nodiscard]] const std::error_category&
GatewayCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(gateway_error aError) noexcept;

/// The error's name in the API, for example `unknown_class`.
[[nodiscard]] std::string_view
ErrorName(gateway_error aError) noexcept;

/// The HTTP status code of the error.
[[nodiscard]] unsigned
ErrorStatus(gateway_error aError) noexcept;

/// Maps an error of the session module about a session token to a gateway
/// error.
[[nodiscard]] gateway_error
FromTokenError(std::error_code aError) noexcept;

/// Maps an error of the session module about a transaction id to a gateway
/// error.
[[nodiscard]] gateway_error
FromTransactionError(std::error_code aError) noexcept;

} // namespace currantshed::gateway

template<>
struct std::is_error_code_enum<currantshed::gateway::gateway_error>
  : std::true_type
{
};

#endif
