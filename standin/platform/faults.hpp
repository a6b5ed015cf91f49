#ifndef CURRANTSHED_STANDIN_PLATFORM_FAULTS_HPP
#define CURRANTSHED_STANDIN_PLATFORM_FAULTS_HPP

#include <chrono>
#include <cstdint>

namespace currantshed::standin {

/// How the platform fails while it is out.
enum class outage
{
  kNone,
  /// Connections and calls are taken, and never answered.
  kHang,
  /// Each call is answered with 503.
  kError,
};

/// The faults in force.
struct faults
{
  outage outageMode = outage::kNone;
  /// Added to each call: one half before its effect, one half after.
  std::chrono::milliseconds addedLatency{ 0 };
  /// Writes that still take effect with their answers lost.
  std::uint64_t loseAnswers = 0;
  /// Writes that are still lost before their effect.
  std::uint64_t loseRequests = 0;
};

} // namespace currantshed::standin

#endif
