#ifndef CURRANTSHED_BIN_GATEWAY_OPTIONS_HPP
#define CURRANTSHED_BIN_GATEWAY_OPTIONS_HPP

#include <string>

#include "currantshed/gateway/settings.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::gateway {

/// Options of the program.
struct options
{
  gateway_settings settings;
  log::level logLevel = log::level::kInfo;
  /// Incarnation of this process.
  std::string incarnation;
};

/// Parses flags and environment. Returns whether to continue, and otherwise the
/// exit code.
[[nodiscard]] settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::gateway

#endif
