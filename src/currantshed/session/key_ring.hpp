#ifndef CURRANTSHED_SESSION_KEY_RING_HPP
#define CURRANTSHED_SESSION_KEY_RING_HPP

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/session/fwd.hpp"

namespace currantshed::session {

/// What a sealed text is for; a text sealed for one purpose is refused for
/// any other.
enum class token_purpose : unsigned char
{
  kSession = 1,
  kTransaction = 2,
};

/// The secret keys that all gateways share. The first one seals, every one
/// opens, so that keys can be replaced without a break: add the new key last
/// everywhere, then put it first everywhere, then drop the old one.
class key_ring
{
public:
  /// A ring without keys: seals nothing and opens nothing.
  key_ring() = default;

  /// Reads `id:hexadecimal,id:hexadecimal,...`, each key of 16 to 64 bytes;
  /// kInvalidKeyRing when the text isn't of that form.
  [[nodiscard]] std::error_code Parse(std::string_view aText);

  /// Seals a content with HMAC-SHA256, cut to 16 bytes, and gives it as text
  /// that fits into an HTTP header or a path (base64url). The content is
  /// protected against change, not hidden.
  [[nodiscard]] std::string Sign(token_purpose aPurpose,
                                 std::string_view aContent) const;

  /// Opens a sealed text into its content; the seal is compared in constant
  /// time. aContent is left alone on error.
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
