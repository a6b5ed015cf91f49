#include "currantshed/gateway/error.hpp"

#include <algorithm>
#include <iterator>
#include <string>

#include "currantshed/session/error.hpp"

namespace currantshed::gateway {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kMissing = 404;
constexpr unsigned kWrongMethod = 405;
constexpr unsigned kTimedOut = 408;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kHeadersTooLarge = 431;

struct error_row
{
  gateway_error error;
  std::string_view name;
  unsigned status;
  std::string_view message;
};

using enum gateway_error;

constexpr error_row kErrors[] = {
  { kMalformedRequest,
    "malformed_request",
    kBadRequest,
    "the request isn't HTTP/1.1 as this server reads it" },
  { kHeaderTooLarge,
    "header_too_large",
    kHeadersTooLarge,
    "the request's header passes the limit" },
  { kBodyTooLarge,
    "body_too_large",
    kTooLarge,
    "the request's body passes the limit" },
  { kRequestTimeout,
    "request_timeout",
    kTimedOut,
    "the request did not arrive in time" },
  { kNotFound, "not_found", kMissing, "there is nothing at this path" },
  { kMethodNotAllowed,
    "method_not_allowed",
    kWrongMethod,
    "this path does not take this method" },
  { kMalformedBody,
    "malformed_body",
    kBadRequest,
    "the body isn't the JSON object that this call takes" },
  { kUnknownField,
    "unknown_field",
    kBadRequest,
    "the body has a field that this call does not take" },
  { kMissingField,
    "missing_field",
    kBadRequest,
    "the body lacks a field that this call needs" },
  { kParameterKind,
    "parameter_kind",
    kBadRequest,
    "a parameter must be a string without NUL, a number, a boolean or null" },
  { kNoStatement,
    "no_statement",
    kBadRequest,
    "the request has no statement to run" },
  { kTooManyStatements,
    "too_many_statements",
    kTooLarge,
    "the request has more statements than the limit allows" },
  { kStatementTooLarge,
    "statement_too_large",
    kTooLarge,
    "a statement is longer than the limit allows" },
  { kTooManyParameters,
    "too_many_parameters",
    kTooLarge,
    "a statement has more parameters than the limit allows" },
  { kUnknownClass,
    "unknown_class",
    kUnprocessable,
    "the operators have declared no such class of work" },
  { kUnknownGroup,
    "unknown_group",
    kMissing,
    "the platform lists no such group" },
  { kGroupNotAllowed,
    "group_not_allowed",
    kForbidden,
    "the class may not use this group" },
  { kReadOnlyClass,
    "read_only_class",
    kUnprocessable,
    "a class that only reads has no transactions" },
  { kMalformedDeadline,
    "malformed_deadline",
    kBadRequest,
    "the deadline must be a whole number of milliseconds above zero" },
  { kMalformedKey,
    "malformed_key",
    kBadRequest,
    "the idempotency key must be a UUID of version 7" },
  { kKeyMismatch,
    "key_mismatch",
    kConflict,
    "the transaction was opened with another idempotency key" },
  { kMalformedToken,
    "malformed_token",
    kBadRequest,
    "the session's token is malformed" },
  { kUntrustedToken,
    "foreign_token",
    kForbidden,
    "the session's token was not made by this system's present keys" },
  { kBadTokenSignature,
    "forged_token",
    kForbidden,
    "the session's token has been changed" },
  { kMalformedTransaction,
    "malformed_transaction",
    kBadRequest,
    "the transaction's id is malformed" },
  { kUntrustedTransaction,
    "forged_transaction",
    kForbidden,
    "the transaction's id was not made by this system's present keys" },
};

const error_row&
Row(gateway_error aError) noexcept
{
  const auto* found =
    std::find_if(std::begin(kErrors), std::end(kErrors), [aError](auto& aRow) {
      return aRow.error == aError;
    });
  return found == std::end(kErrors) ? kErrors[0] : *found;
}

class gateway_error_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override { return "gateway"; }

  [[nodiscard]] std::string message(int aValue) const override
  {
    return std::string(Row(static_cast<gateway_error>(aValue)).message);
  }
};

} // namespace

const std::error_category&
GatewayCategory() noexcept
{
  static const gateway_error_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(gateway_error aError) noexcept
{
  return { static_cast<int>(aError), GatewayCategory() };
}

std::string_view
ErrorName(gateway_error aError) noexcept
{
  return Row(aError).name;
}

unsigned
ErrorStatus(gateway_error aError) noexcept
{
  return Row(aError).status;
}

gateway_error
FromTokenError(std::error_code aError) noexcept
{
  if (aError == session::session_error::kBadSignature) {
    return kBadTokenSignature;
  }
  return aError == session::session_error::kUntrusted ? kUntrustedToken
                                                      : kMalformedToken;
}

gateway_error
FromTransactionError(std::error_code aError) noexcept
{
  const bool forged = aError == session::session_error::kBadSignature ||
                      aError == session::session_error::kUntrusted;
  return forged ? kUntrustedTransaction : kMalformedTransaction;
}

} // namespace currantshed::gateway
