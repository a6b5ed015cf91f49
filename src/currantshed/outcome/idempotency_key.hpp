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

/// The name of one change, given by its caller or made at the gateway: a
/// UUID of version 7 (RFC 9562), which carries its time of issue.
class idempotency_key
{
public:
  using bytes = std::array<std::uint8_t, 16>;

  /// A key without a value; only for requests that change nothing.
  idempotency_key() = default;

  /// Makes a key issued at the given time from 74 random bits, of which the
  /// lowest ones of the two words are used.
  [[nodiscard]] static idempotency_key Make(clock::wall_time aIssued,
                                            std::uint64_t aRandomHigh,
                                            std::uint64_t aRandomLow) noexcept;

  /// Reads the usual text form (8-4-4-4-12 hexadecimal digits); none when
  /// the text isn't a UUID of version 7.
  [[nodiscard]] static std::optional<idempotency_key> Parse(
    std::string_view aText) noexcept;

  /// Takes the sixteen bytes as another process sent them; none when they
  /// aren't a UUID of version 7.
  [[nodiscard]] static std::optional<idempotency_key> FromBytes(
    std::string_view aBytes) noexcept
  {
    idempotency_key key;
    if (aBytes.size() != key.mBytes.size()) {
      return std::nullopt;
    }
    for (std::size_t place = 0; place < aBytes.size(); ++place) {
      key.mBytes[place] = static_cast<std::uint8_t>(aBytes[place]);
    }
    constexpr unsigned kVersionShift = 4;
    constexpr unsigned kVersion = 7;
    constexpr unsigned kVariantShift = 6;
    constexpr unsigned kVariant = 2;
    constexpr std::size_t kVersionPlace = 6;
    constexpr std::size_t kVariantPlace = 8;
    const bool isVersion7 =
      (key.mBytes[kVersionPlace] >> kVersionShift) == kVersion &&
      (key.mBytes[kVariantPlace] >> kVariantShift) == kVariant;
    return isVersion7 ? std::optional(key) : std::nullopt;
  }

  /// The sixteen bytes, for another process.
  [[nodiscard]] const bytes& Bytes() const noexcept { return mBytes; }

  /// The time of issue, in whole milliseconds.
  [[nodiscard]] clock::wall_time IssuedAt() const noexcept;

  /// The text form, in lower case.
  [[nodiscard]] std::string Text() const;

  [[nodiscard]] bool empty() const noexcept;

  [[nodiscard]] friend bool operator==(const idempotency_key&,
                                       const idempotency_key&) = default;

private:
  bytes mBytes{};
};

} // namespace currantshed::outcome

#endif
