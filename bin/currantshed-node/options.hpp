#ifndef CURRANTSHED_BIN_NODE_OPTIONS_HPP
#define CURRANTSHED_BIN_NODE_OPTIONS_HPP

#include <string>

#include "currantshed/lead/group_monitor.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::node {

/// What flags and environment say; the platform's own settings come from the
/// file that they name.
struct options
{
  std::string settingsPath;
  log::level logLevel = log::level::kInfo;
  lead::monitor_settings lead;
};

/// Reads flags and environment, and says whether to go on.
[[nodiscard]] settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::node

#endif
