#ifndef CURRANTSHED_BIN_POOLER_OPTIONS_HPP
#define CURRANTSHED_BIN_POOLER_OPTIONS_HPP

#include <chrono>

#include "currantshed/log/log.hpp"
#include "currantshed/pooler/settings.hpp"
#include "currantshed/settings/parser.hpp"

namespace currantshed::pooler {

/// The pooler's settings as flags and environment give them.
struct options
{
  pooler::settings settings;
  std::chrono::milliseconds drainTimeout{ 30000 };
  log::level logLevel = log::level::kInfo;
};

/// Reads flags and environment; prints faults, help or version itself.
[[nodiscard]] currantshed::settings::parse_result
ReadOptions(options& aOptions, int aCount, const char* const* aValues);

} // namespace currantshed::pooler

#endif
