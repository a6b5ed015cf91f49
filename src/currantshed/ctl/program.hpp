#ifndef CURRANTSHED_CTL_PROGRAM_HPP
#define CURRANTSHED_CTL_PROGRAM_HPP

namespace currantshed::ctl {

/// Runs currantshedctl and returns its exit code.
[[nodiscard]] int
RunProgram(int aCount, const char* const* aValues);

} // namespace currantshed::ctl

#endif
