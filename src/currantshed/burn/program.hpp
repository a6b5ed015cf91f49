#ifndef CURRANTSHED_BURN_PROGRAM_HPP
#define CURRANTSHED_BURN_PROGRAM_HPP

#include "currantshed/burn/fwd.hpp"

namespace currantshed::burn {

/// Exit codes, for use in alerting.
enum class exit_code
{
  kNoAlert = 0,
  /// At least one alert rule fires.
  kAlert = 1,
  /// Invalid flags, or a file that cannot be read or written.
  kUsage = 2,
  /// No gateway has two snapshots.
  kNoData = 3,
};

/// Runs currantshed-burn and returns its exit code.
[[nodiscard]] int
RunProgram(int aCount, const char* const* aValues);

} // namespace currantshed::burn

#endif
