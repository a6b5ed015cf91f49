#ifndef CURRANTSHED_TEST_MATRIX_CHECKER_HPP
#define CURRANTSHED_TEST_MATRIX_CHECKER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "test/matrix/history.hpp"

namespace currantshed::matrix {

/// Invariants that every run must satisfy.
enum class invariant
{
  kNothingLost,
  kNothingDoubled,
  kReadYourWrites,
  kBoundedStaleness,
  kNoReplacedPrimary,
  kNothingMixed,
  kWholeAnswers,
  kTrueNotRun,
  kLeavingLeftAlone,
  kNothingCutAtStop,
  kConfigurationKept,
  /// A value returned by a read is in the final log.
  kShownIsKept,
  /// Writes succeed again once all faults have ended.
  kRecovers,
};
constexpr std::size_t kInvariants = 13;

[[nodiscard]] std::string_view
Name(invariant aInvariant);

/// One violation of an invariant.
struct violation
{
  invariant broken = invariant::kNothingLost;
  std::string text;
};

/// Checks the invariants of a run, using its history alone.
[[nodiscard]] std::vector<violation>
Check(const history& aHistory);

} // namespace currantshed::matrix

#endif
