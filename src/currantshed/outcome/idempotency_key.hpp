#ifndef CURRANTSHED_OUTCOME_IDEMPOTENCY_KEY_HPP
#define CURRANTSHED_OUTCOME_IDEMPOTENCY_KEY_HPP

#include <array>
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
