#include "currantshed/settings/duration.hpp"

#include <cstdint>
#include <limits>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace currantshed::settings {
namespace {

struct unit
{
  std::string_view name;
  std::int64_t milliseconds;
};

/// Largest first, so that a duration is formatted in its largest whole unit.
constexpr unit kUnits[] = {
  { "h", 3'600'000 },
  { "m", 60'000 },
  { "s", 1'000 },
  { "ms", 1 },
};

std::optional<std::int64_t>
UnitFactor(std::string_view aUnit, unitless_number aUnitless)
{
  if (aUnit.empty() && aUnitless == unitless_number::kMilliseconds) {
    return 1;
  }
  for (const auto& one : kUnits) {
    if (one.name == aUnit) {
      return one.milliseconds;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText, unitless_number aUnitless)
{
  std::size_t digits = 0;
  while (digits < aText.size() && absl::ascii_isdigit(aText[digits])) {
    ++digits;
  }
  std::int64_t count = 0;
  if (digits == 0 ||
      !absl::SimpleAtoi(std::string(aText.substr(0, digits)), &count)) {
    return std::nullopt;
  }
  const auto factor = UnitFactor(aText.substr(digits), aUnitless);
  if (!factor || count > std::numeric_limits<std::int64_t>::max() / *factor) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(count * *factor);
}

std::string
FormatDuration(std::chrono::milliseconds aTime)
{
  const std::int64_t count = aTime.count();
  if (count == 0) {
    return "0s";
  }
  for (const auto& one : kUnits) {
    if (count % one.milliseconds == 0) {
      return std::to_string(count / one.milliseconds).append(one.name);
    }
  }
  return std::to_string(count).append("ms");
}

} // namespace currantshed::settings
