#ifndef CURRANTSHED_WIRE_ERRORS_HPP
#define CURRANTSHED_WIRE_ERRORS_HPP

#include <system_error>

#include "currantshed/wire/fwd.hpp"

namespace currantshed::wire {

/// Why the bytes of a message were not taken.
enum class wire_errc
{
  /// The bytes are no envelope, or one without a body.
  kMalformed = 1,
  /// The message, or a list in it, is longer than the bounds allow.
  kTooLarge,
  /// An enumerator, a port or a number outside its range.
  kOutOfRange,
  /// The idempotency key isn't a UUID of version 7.
  kInvalidKey,
};

/// The category of wire_errc.
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
