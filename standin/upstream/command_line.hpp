#ifndef CURRANTSHED_STANDIN_UPSTREAM_COMMAND_LINE_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_COMMAND_LINE_HPP

#include <optional>

#include "standin/upstream/settings.hpp"

namespace currantshed::standin::postgres {

/// Reads the program's flags; gives its exit code when it is not to run.
[[nodiscard]] std::optional<int>
ReadCommandLine(int aCount,
                const char* const* aValues,
                server_settings& aSettings);

} // namespace currantshed::standin::postgres

#endif
