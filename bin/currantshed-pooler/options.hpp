#ifndef CURRANTSHED_BIN_POOLER_OPTIONS_HPP
#define CURRANTSHED_BIN_POOLER_OPTIONS_HPP

#include <chrono>

#include "currantshed/log/log.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::pooler {

/// Settings of the process from flags and environment.
struct options
{
  pooler::settings settings;
  std::chrono::milliseconds drainTimeout{ 30000 };
  log::level logLevel = log::level::kInfo;
};

/// Parses flags and environment; prints errors, help or version itself.
[[nodiscard]] currantshed::settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::pooler

#endif
