#ifndef CURRANTSHED_SETTINGS_DURATION_HPP
#define CURRANTSHED_SETTINGS_DURATION_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace currantshed::settings {

/// Whether a duration may be written without a unit, in milliseconds.
enum class unitless_number
{
  kMilliseconds,
  kRejected,
};

/// Parses a duration such as 500ms, 2s, 5m or 1h; none if the text is malformed
/// or the value overflows a 64-bit count of milliseconds.
[[nodiscard]] std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText, unitless_number aUnitless);

/// Formats a duration in its largest whole unit, for example 90s or 2m.
[[nodiscard]] std::string
FormatDuration(std::chrono::milliseconds aTime);

} // namespace currantshed::settings

#endif
