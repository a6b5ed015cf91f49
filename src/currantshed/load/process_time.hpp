#ifndef CURRANTSHED_LOAD_PROCESS_TIME_HPP
#define CURRANTSHED_LOAD_PROCESS_TIME_HPP

#include <chrono>
#include <string_view>
#include <vector>

namespace currantshed::load {

/// Reads the processor time, in user and system mode, from the text of a
/// process's stat file, given the clock ticks in a second; zero when it can't
/// be read.
[[nodiscard]] std::chrono::nanoseconds
ParseProcessorTime(std::string_view aStat, long aTicksPerSecond);

/// The processor time that the processes have used until now, in all.
[[nodiscard]] std::chrono::nanoseconds
ProcessorTimeOf(const std::vector<unsigned>& aProcesses);

} // namespace currantshed::load

#endif
