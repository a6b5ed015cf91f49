#ifndef CURRANTSHED_LOAD_PROCESS_TIME_HPP
#define CURRANTSHED_LOAD_PROCESS_TIME_HPP

#include <chrono>
#include <string_view>
#include <vector>

namespace currantshed::load {

/// Parses the CPU time, in user and system mode, from the contents of
/// /proc/PID/stat, given the clock ticks per second; zero if it cannot be
/// parsed.
[[nodiscard]] std::chrono::nanoseconds
ParseProcessorTime(std::string_view aStat, long aTicksPerSecond);

/// Total CPU time that the processes have used so far.
[[nodiscard]] std::chrono::nanoseconds
ProcessorTimeOf(const std::vector<unsigned>& aProcesses);

} // namespace currantshed::load

#endif
