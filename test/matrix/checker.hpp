#ifndef CURRANTSHED_TEST_MATRIX_CHECKER_HPP
#define CURRANTSHED_TEST_MATRIX_CHECKER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "test/matrix/history.hpp"

namespace currantshed::matrix {

/// What must hold in every run.
enum class promise
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
  /// What a read shows is kept.
  kShownIsKept,
  /// Work goes on once all faults are over.
  kRecovers,
};
constexpr std::size_t kPromises = 13;

[[nodiscard]] std::string_view
Name(promise aPromise);

/// One thing that went wrong.
struct breach
{
  promise broken = promise::kNothingLost;
  std::string text;
};

/// Judges a run from what was seen alone.
[[nodiscard]] std::vector<breach>
Check(const history& aHistory);

} // namespace currantshed::matrix

#endif
