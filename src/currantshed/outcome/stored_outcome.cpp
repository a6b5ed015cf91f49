#include "currantshed/outcome/stored_outcome.hpp"

#include "currantshed/upstream/dialect.hpp"

namespace currantshed::outcome {

namespace {

constexpr std::size_t kStateColumn = 0;
constexpr std::size_t kDigestColumn = 1;
constexpr std::size_t kColumns = 2;

} // namespace

std::optional<stored_outcome>
ReadStoredOutcome(const upstream::result_set& aAnswer)
{
  if (aAnswer.cells.size() != kColumns) {
    return std::nullopt;
  }
  const auto& state = aAnswer.cells[kStateColumn];
  if (state != upstream::kOutcomeDone && state != upstream::kOutcomeVoid) {
    return std::nullopt;
  }
  stored_outcome stored;
  stored.isVoid = state == upstream::kOutcomeVoid;
  stored.digest = aAnswer.cells[kDigestColumn].value_or(std::string{});
  return stored;
}

bool
IsKeyInRetention(const idempotency_key& aKey,
                 clock::wall_time aWallNow,
                 std::chrono::hours aRetention) noexcept
{
  const auto issued = aKey.IssuedAt();
  return issued + aRetention > aWallNow &&
         issued <= aWallNow + kKeyClockTolerance;
}

} // namespace currantshed::outcome
