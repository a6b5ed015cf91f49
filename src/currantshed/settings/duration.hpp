#ifndef CURRANTSHED_SETTINGS_DURATION_HPP
#define CURRANTSHED_SETTINGS_DURATION_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace currantshed::settings {

/// Whether a time may be written without a unit, in milliseconds.
enum class unitless_number
{
  kMilliseconds,
  kRejected,
};

/// Reads a time such as 500ms, 2s, 5m or 1h; none if the text is no such
/// time or passes what a count of milliseconds holds.
[[nodiscard]] std::optional<std::chrono::milliseconds>
ParseDuration(std::string_view aText, unitless_number aUnitless);

/// The time in its largest whole unit, for example 90s or 2m.
[[nodiscard]] std::string
FormatDuration(std::chrono::milliseconds aTime);

} // namespace currantshed::settings

#endif
