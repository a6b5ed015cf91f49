#ifndef CURRANTSHED_OUTCOME_IDEMPOTENCY_KEY_HPP
#define CURRANTSHED_OUTCOME_IDEMPOTENCY_KEY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "currantshed/clock/time.hpp"
#include "currantshed/outcome/fwd.hpp"

namespace currantshed::outcome {

/// Identifies one change; given by the caller or generated at the gateway. A
/// version 7 UUID (RFC 9562), which contains its time of issue.
class idempotency_key
{
public:
  using bytes = std::array<std::uint8_t, 16>;

  /// Creates an empty key, for requests that change nothing.
  idempotency_key() = default;

  /// Creates a key for the given time of issue and 74 random bits: the lowest
  /// 12 of aRandomHigh and 62 of aRandomLow.
  [[nodiscard]] static idempotency_key Make(clock::wall_time aIssued,
                                            std::uint64_t aRandomHigh,
                                            std::uint64_t aRandomLow) noexcept;

  /// Parses the canonical text form (8-4-4-4-12 hexadecimal digits); none if
  /// the text is not a version 7 UUID.
  [[nodiscard]] static std::optional<idempotency_key> Parse(
    std::string_view aText) noexcept;

  /// Creates a key from the 16 bytes of Bytes; none if they are not a version 7
  /// UUID.
  [[nodiscard]] static std::optional<idempotency_key> FromBytes(
    std::string_view aBytes) noexcept
  {
    idempotency_key key;
    if (aBytes.size() != key.mBytes.size()) {
      return std::nullopt;
    }
    for (std::size_t index = 0; index < aBytes.size(); ++index) {
      key.mBytes[index] = static_cast<std::uint8_t>(aBytes[index]);
    }
    constexpr unsigned kVersionShift = 4;
    constexpr unsigned kVersion = 7;
    constexpr unsigned kVariantShift = 6;
    constexpr unsigned kVariant = 2;
    constexpr std::size_t kVersionIndex = 6;
    constexpr std::size_t kVariantIndex = 8;
    const bool isVersion7 =
      (key.mBytes[kVersionIndex] >> kVersionShift) == kVersion &&
      (key.mBytes[kVariantIndex] >> kVariantShift) == kVariant;
    return isVersion7 ? std::optional(key) : std::nullopt;
  }

  /// The 16 bytes, as sent to other processes.
  [[nodiscard]] const bytes& Bytes() const noexcept { return mBytes; }

  /// Time of issue, to the millisecond.
  [[nodiscard]] clock::wall_time IssuedAt() const noexcept;

  /// The canonical text form, in lower case.
  [[nodiscard]] std::string Text() const;

  [[nodiscard]] bool empty() const noexcept;

  [[nodiscard]] friend bool operator==(const idempotency_key&,
                                       const idempotency_key&) = default;

private:
  bytes mBytes{};
};

} // namespace currantshed::outcome

#endif
