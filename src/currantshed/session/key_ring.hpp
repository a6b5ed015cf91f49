#ifndef CURRANTSHED_SESSION_KEY_RING_HPP
#define CURRANTSHED_SESSION_KEY_RING_HPP

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/session/fwd.hpp"

namespace currantshed::session {

/// What a signed text is used for. A text signed for one purpose is rejected
/// for any other.
enum class token_purpose : unsigned char
{
  kSession = 1,
  kTransaction = 2,
};

/// The secret keys that all gateways share. The first key signs; every key
/// verifies. This allows rotation without interruption: append the new key at
/// all gateways, then move it to the front at all gateways, then remove the old
/// key.
class key_ring
{
public:
  /// Creates an empty key ring, which neither signs nor verifies anything.
  key_ring() = default;

  /// Parses `id:hexadecimal,id:hexadecimal,...`, with keys of 16 to 64 bytes
  /// each. Returns kInvalidKeyRing if the text does not have this form or an id
  /// is repeated.
  [[nodiscard]] std::error_code Parse(std::string_view aText);

  /// Signs a content with HMAC-SHA256, truncated to 16 bytes, and encodes it as
  /// base64url text for HTTP headers and paths. The content is authenticated,
  /// not encrypted. Returns an empty text if the ring is empty.
  [[nodiscard]] std::string Sign(token_purpose aPurpose,
                                 std::string_view aContent) const;

  /// Verifies a signed text and extracts its content. Signatures are compared
  /// in constant time. aContent is unchanged on error.
  [[nodiscard]] std::error_code Verify(token_purpose aPurpose,
                                       std::string_view aText,
                                       std::string& aContent) const;

  [[nodiscard]] bool empty() const noexcept;

private:
  struct key
  {
    std::string id;
    std::string secret;
  };

  [[nodiscard]] const key* Find(std::string_view aId) const noexcept;

  std::vector<key> mKeys;
};

} // namespace currantshed::session

#endif
