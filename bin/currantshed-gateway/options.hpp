#ifndef CURRANTSHED_BIN_GATEWAY_OPTIONS_HPP
#define CURRANTSHED_BIN_GATEWAY_OPTIONS_HPP

#include <string>

#include "currantshed/gateway/settings.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::gateway {

/// What the program is started with.
struct options
{
  gateway_settings settings;
  log::level logLevel = log::level::kInfo;
  /// Name of this life of the process.
  std::string incarnation;
};

/// Reads flags and environment; says whether to go on, and the exit code
/// where not.
[[nodiscard]] settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::gateway

#endif
