#ifndef CURRANTSHED_SESSION_ERROR_HPP
#define CURRANTSHED_SESSION_ERROR_HPP

#include <system_error>

namespace currantshed::session {

/// What can be wrong with a sealed text, or with the keys that seal it.
enum class session_error
{
  /// The text isn't one that any key ring could have made.
  kMalformed = 1,
  /// The text was sealed by a key that isn't on the ring, or for another
  /// purpose.
  kUntrusted,
  /// The seal doesn't fit the content.
  kBadSignature,
  /// The text was made by a later version of this format.
  kUnknownVersion,
  /// The list of keys isn't of the form `id:hexadecimal,...`.
  kInvalidKeyRing,
};

/// The category of session errors.
[[nodiscard]] const std::error_category&
SessionCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(session_error aError) noexcept;

} // namespace currantshed::session

template<>
struct std::is_error_code_enum<currantshed::session::session_error>
  : std::true_type
{
};

#endif
