#ifndef CURRANTSHED_STANDIN_UPSTREAM_COMMAND_LINE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_COMMAND_LINE_HPP

#include <optional>

#include "standin/upstream/settings.hpp"

namespace currantshed::standin::postgres {

/// Reads the command-line flags; returns the exit code if the program is to
/// exit at once.
[[nodiscard]] std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aValues,
                server_settings& aSettings);

} // namespace currantshed::standin::postgres

#endif
