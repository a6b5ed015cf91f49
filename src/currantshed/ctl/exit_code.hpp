#ifndef CURRANTSHED_CTL_EXIT_CODE_HPP
#define CURRANTSHED_CTL_EXIT_CODE_HPP

#include "currantshed/ctl/fwd.hpp"

namespace currantshed::ctl {

/// Exit codes of the commands, as seen by scripts.
enum class exit_code
{
  kOk = 0,
  /// Invalid flags, or an unreadable file.
  kUsage = 2,
  kInvalidDeclaration = 3,
  /// The version in force differs from the expected one.
  kLostRace = 4,
  /// The change may or may not have been applied.
  kOutcomeUnknown = 5,
  kPlatformUnreachable = 6,
  kTimeout = 7,
};

} // namespace currantshed::ctl

#endif
