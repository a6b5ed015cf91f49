#ifndef CURRANTSHED_OUTCOME_STORED_OUTCOME_HPP
#define CURRANTSHED_OUTCOME_STORED_OUTCOME_HPP

#include <chrono>
#include <optional>
#include <string>

#include "currantshed/clock/time.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::outcome {

/// What a group's table of outcomes holds for one key.
struct stored_outcome
{
  /// Whether the key was made void; the change ran otherwise.
  bool isVoid = false;
  /// Digest of the request whose change ran.
  std::string digest;
};

/// Reads the answer to the dialect's ReadOutcome; none when the key isn't
/// there or the answer is not in the expected form.
[[nodiscard]] std::optional<stored_outcome>
ReadStoredOutcome(const upstream::result_set& aAnswer);

/// How far ahead of this process's wall clock a key may be issued.
inline constexpr std::chrono::minutes kKeyClockTolerance{ 1 };

/// Whether a key's outcome would still be kept: one that is older than the
/// retention, or issued in the future, is refused and never guessed about.
[[nodiscard]] bool
IsKeyInRetention(const idempotency_key& aKey,
                 clock::wall_time aWallNow,
                 std::chrono::hours aRetention) noexcept;

} // namespace currantshed::outcome

#endif
