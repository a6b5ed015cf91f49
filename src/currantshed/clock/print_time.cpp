#include "currantshed/clock/print_time.hpp"

#include <chrono>
#include <ctime>

#include <absl/strings/str_format.h>

namespace currantshed::clock {
namespace {

/// Date and time to the second, without the time zone.
std::string
PrintWhole(std::chrono::sys_seconds aTime)
{
  constexpr std::size_t kMaxLength = 32;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[kMaxLength];
  const std::size_t length =
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  return { text, length };
}

} // namespace

std::string
PrintTime(wall_time aTime)
{
  return PrintWhole(std::chrono::floor<std::chrono::seconds>(aTime)) + "Z";
}

std::string
PrintTimeMs(wall_time aTime)
{
  const auto whole = std::chrono::floor<std::chrono::seconds>(aTime);
  const auto rest =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime - whole);
  return absl::StrFormat("%s.%03dZ", PrintWhole(whole), rest.count());
}

} // namespace currantshed::clock
