#ifndef CURRANTSHED_OUTCOME_STORED_OUTCOME_HPP
#define CURRANTSHED_OUTCOME_STORED_OUTCOME_HPP

#include <chrono>
#include <optional>
#include <string>

#include "currantshed/clock/time.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::outcome {

/// The record of a key in a group's outcome table.
struct stored_outcome
{
  /// Whether the key was voided; otherwise the change was committed.
  bool isVoid = false;
  /// Digest of the request that was committed.
  std::string digest;
};

/// Parses the result of the dialect's ReadOutcome; none if there is no record
/// or the result does not have the expected form.
[[nodiscard]] std::optional<stored_outcome>
ReadStoredOutcome(const upstream::result_set& aAnswer);

/// How far a key's time of issue may be ahead of this process's wall clock.
inline constexpr std::chrono::minutes kKeyClockTolerance{ 1 };

/// Whether the outcome of a key would still be stored. Requests with a key that
/// is older than the retention or issued in the future are refused, because
/// their outcome cannot be determined.
[[nodiscard]] bool
IsKeyInRetention(const idempotency_key& aKey,
                 clock::wall_time aWallNow,
                 std::chrono::hours aRetention) noexcept;

} // namespace currantshed::outcome

#endif
