#ifndef CURRANTSHED_WIRE_ERRORS_HPP
#define CURRANTSHED_WIRE_ERRORS_HPP

#include <system_error>

#include "currantshed/wire/fwd.hpp"

namespace currantshed::wire {

/// Errors of decoding a message.
enum class wire_errc
{
  /// The bytes are not an envelope, or the envelope has no body.
  kMalformed = 1,
  /// The message, or a list in it, exceeds its limit.
  kTooLarge,
  /// An enumerator, a port or a number is out of range.
  kOutOfRange,
  /// The idempotency key is not a version 7 UUID.
  kInvalidKey,
};

[[nodiscard]] const std::error_category&
WireCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(wire_errc aCode) noexcept;

} // namespace currantshed::wire

template<>
struct std::is_error_code_enum<currantshed::wire::wire_errc> : std::true_type
{
};

#endif
