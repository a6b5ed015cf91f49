#ifndef CURRANTSHED_SESSION_ERROR_HPP
#define CURRANTSHED_SESSION_ERROR_HPP

#include <system_error>

namespace currantshed::session {

/// Errors of reading a signed text, or of parsing the keys that sign it.
enum class session_error
{
  /// The text does not have the form of a signed text.
  kMalformed = 1,
  /// The text was signed with a key that is not on the key ring, or for another
  /// purpose.
  kUntrusted,
  /// The signature does not match the content.
  kBadSignature,
  /// The text has an unknown format version.
  kUnknownVersion,
  /// The list of keys does not have the form `id:hexadecimal,...`.
  kInvalidKeyRing,
};

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
