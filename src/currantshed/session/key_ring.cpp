#include "currantshed/session/key_ring.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "currantshed/session/error.hpp"

namespace currantshed::session {

namespace {

constexpr char kVersion = 1;
constexpr std::size_t kSignatureBytes = 16;
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::size_t kMaxSecretBytes = 64;
constexpr std::size_t kMaxIdBytes = 32;
/// Version, purpose and length of the key's id.
constexpr std::size_t kHeaderBytes = 3;
constexpr std::size_t kMaxTextBytes = 4096;

std::string
MakeSignature(const std::string& aSecret, std::string_view aMessage)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aMessage.data()),
       aMessage.size(),
       digest.data(),
       &length);
  return { reinterpret_cast<const char*>(digest.data()), kSignatureBytes };
}

bool
IsSameSignature(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

bool
IsHexadecimal(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return absl::ascii_isxdigit(static_cast<unsigned char>(aDigit));
  });
}

bool
IsValidSecret(std::string_view aHexadecimal)
{
  return aHexadecimal.size() % 2 == 0 &&
         aHexadecimal.size() >= 2 * kMinSecretBytes &&
         aHexadecimal.size() <= 2 * kMaxSecretBytes &&
         IsHexadecimal(aHexadecimal);
}

/// Abseil's packaged strings know a view type of their own.
absl::string_view
AbslView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Takes the text up to the next separator, or the rest, off the front.
std::string_view
TakePart(std::string_view& aRest, char aSeparator)
{
  const std::size_t end = aRest.find(aSeparator);
  const std::string_view part = aRest.substr(0, end);
  aRest.remove_prefix(end == std::string_view::npos ? aRest.size() : end + 1);
  return part;
}

/// Decodes base64url and refuses every text but the one that encodes the
/// same bytes, so that each sealed content has exactly one text.
bool
Decode(std::string_view aText, std::string& aBytes)
{
  return aText.size() <= kMaxTextBytes &&
         absl::WebSafeBase64Unescape(AbslView(aText), &aBytes) &&
         absl::WebSafeBase64Escape(aBytes) == aText;
}

} // namespace

std::error_code
key_ring::Parse(std::string_view aText)
{
  std::vector<key> keys;
  std::string_view rest = aText;
  do {
    std::string_view secret = TakePart(rest, ',');
    const std::string_view id = TakePart(secret, ':');
    const bool taken =
      std::any_of(keys.begin(), keys.end(), [id](const key& aKey) {
        return aKey.id == id;
      });
    if (id.empty() || id.size() > kMaxIdBytes || taken ||
        !IsValidSecret(secret)) {
      return session_error::kInvalidKeyRing;
    }
    keys.push_back(
      { std::string(id), absl::HexStringToBytes(AbslView(secret)) });
  } while (!rest.empty());
  mKeys = std::move(keys);
  return {};
}

std::string
key_ring::Sign(token_purpose aPurpose, std::string_view aContent) const
{
  if (mKeys.empty()) {
    return {};
  }
  const key& first = mKeys.front();
  std::string message;
  message.reserve(kHeaderBytes + first.id.size() + aContent.size() +
                  kSignatureBytes);
  message.push_back(kVersion);
  message.push_back(static_cast<char>(aPurpose));
  message.push_back(static_cast<char>(first.id.size()));
  message.append(first.id);
  message.append(aContent);
  message.append(MakeSignature(first.secret, message));
  return absl::WebSafeBase64Escape(message);
}

std::error_code
key_ring::Verify(token_purpose aPurpose,
                 std::string_view aText,
                 std::string& aContent) const
{
  std::string bytes;
  if (!Decode(aText, bytes) || bytes.size() < kHeaderBytes + kSignatureBytes) {
    return session_error::kMalformed;
  }
  if (bytes[0] != kVersion) {
    return session_error::kUnknownVersion;
  }
  const std::size_t idLength = static_cast<unsigned char>(bytes[2]);
  const std::size_t begin = kHeaderBytes + idLength;
  if (bytes.size() < begin + kSignatureBytes) {
    return session_error::kMalformed;
  }
  const std::string_view all = bytes;
  const key* used = Find(all.substr(kHeaderBytes, idLength));
  if (used == nullptr) {
    return session_error::kUntrusted;
  }
  const std::size_t end = bytes.size() - kSignatureBytes;
  if (!IsSameSignature(MakeSignature(used->secret, all.substr(0, end)),
                       all.substr(end))) {
    return session_error::kBadSignature;
  }
  if (bytes[1] != static_cast<char>(aPurpose)) {
    return session_error::kUntrusted;
  }
  aContent.assign(all.substr(begin, end - begin));
  return {};
}

bool
key_ring::empty() const noexcept
{
  return mKeys.empty();
}

const key_ring::key*
key_ring::Find(std::string_view aId) const noexcept
{
  const auto found =
    std::find_if(mKeys.begin(), mKeys.end(), [aId](const key& aKey) {
      return aKey.id == aId;
    });
  return found == mKeys.end() ? nullptr : &*found;
}

} // namespace currantshed::session
