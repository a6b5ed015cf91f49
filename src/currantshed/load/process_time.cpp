#include "currantshed/load/process_time.hpp"

#include <cstdint>
#include <fstream>
#include <iterator>
#include <string>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

namespace currantshed::load {

namespace {

// Positions after the process name, which is in parentheses and may contain
// spaces.
constexpr std::size_t kUserTime = 11;
constexpr std::size_t kSystemTime = 12;

} // namespace

std::chrono::nanoseconds
ParseProcessorTime(std::string_view aStat, long aTicksPerSecond)
{
  const auto name = aStat.rfind(')');
  if (name == std::string_view::npos || aTicksPerSecond <= 0) {
    return std::chrono::nanoseconds(0);
  }
  const std::vector<std::string> fields =
    absl::StrSplit(std::string(aStat.substr(name + 1)), ' ', absl::SkipEmpty());
  std::int64_t user = 0;
  std::int64_t system = 0;
  if (fields.size() <= kSystemTime ||
      !absl::SimpleAtoi(fields[kUserTime], &user) ||
      !absl::SimpleAtoi(fields[kSystemTime], &system)) {
    return std::chrono::nanoseconds(0);
  }
  const std::chrono::nanoseconds second = std::chrono::seconds(1);
  return second / aTicksPerSecond * (user + system);
}

std::chrono::nanoseconds
ProcessorTimeOf(const std::vector<unsigned>& aProcesses)
{
  std::chrono::nanoseconds sum{ 0 };
  for (const unsigned process : aProcesses) {
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    sum += ParseProcessorTime(text, sysconf(_SC_CLK_TCK));
  }
  return sum;
}

} // namespace currantshed::load
