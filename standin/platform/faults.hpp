#ifndef CURRANTSHED_STANDIN_PLATFORM_FAULTS_HPP
#define CURRANTSHED_STANDIN_PLATFORM_FAULTS_HPP

#include <chrono>
#include <cstdint>

namespace currantshed::standin {

/// Failure mode during an outage.
enum class outage
{
  kNone,
  /// Connections and calls are accepted but never answered.
  kHang,
  /// Each call is answered with status 503.
  kError,
};

/// The faults currently injected.
struct faults
{
  outage outageMode = outage::kNone;
  /// Latency added to each call: one half before its effect, one half after.
  std::chrono::milliseconds addedLatency{ 0 };
  /// Number of further writes that take effect but whose responses are lost.
  std::uint64_t loseAnswers = 0;
  /// Number of further writes that are lost before taking effect.
  std::uint64_t loseRequests = 0;
};

} // namespace currantshed::standin

#endif
