#ifndef CURRANTSHED_GATEWAY_ERROR_HPP
#define CURRANTSHED_GATEWAY_ERROR_HPP

#include <string_view>
#include <system_error>

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// What can be wrong with a caller's request in itself, so that it is
/// refused before anything is sent.
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

/// The category of the gateway's errors; its messages are for callers.
[[nodiscard]] const std::error_category&
GatewayCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(gateway_error aError) noexcept;

/// The error's name as callers see it, for example `unknown_class`.
[[nodiscard]] std::string_view
ErrorName(gateway_error aError) noexcept;

/// The HTTP status that goes with the error.
[[nodiscard]] unsigned
ErrorStatus(gateway_error aError) noexcept;

/// Turns what the session module says of a session's token into the
/// gateway's own error.
[[nodiscard]] gateway_error
FromTokenError(std::error_code aError) noexcept;

/// Turns what the session module says of a transaction's id into the
/// gateway's own error.
[[nodiscard]] gateway_error
FromTransactionError(std::error_code aError) noexcept;

} // namespace currantshed::gateway

template<>
struct std::is_error_code_enum<currantshed::gateway::gateway_error>
  : std::true_type
{
};

#endif
