#ifndef CURRANTSHED_GATEWAY_METRICS_HPP
#define CURRANTSHED_GATEWAY_METRICS_HPP

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "currantshed/gateway/engine.hpp"

namespace currantshed::gateway {

/// All metrics of one gateway; docs/modules/gateway.md lists them. Metric
/// families are created once, and their members are thread-safe.
class metrics
{
public:
  metrics();

  [[nodiscard]] const std::shared_ptr<prometheus::Registry>& Registry() const
  {
    return mRegistry;
  }

private:
  friend class recorder;

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mDeadlineMet;
  prometheus::Family<prometheus::Counter>& mReads;
  prometheus::Family<prometheus::Histogram>& mSeconds;
  prometheus::Counter& mRefusals;
  prometheus::Counter& mReconfirmations;
  prometheus::Counter& mResolutions;
  prometheus::Counter& mRetries;
  prometheus::Counter& mAbandoned;
  prometheus::Gauge& mInFlight;
  prometheus::Gauge& mConnections;
};

/// Records metrics for one thread and caches the metrics it has looked up.
class recorder
{
public:
  explicit recorder(metrics& aMetrics);

  /// Counts a response.
  void Answered(const give_answer& aAnswer);

  /// Counts a request that was rejected by the HTTP layer.
  void CountRefused();

  /// Adds the increments of the engine's counters since the last call, and
  /// updates the gauges.
  void Update(const engine_counters& aCounters,
              std::size_t aInFlight,
              std::size_t aConnections);

private:
  static constexpr std::size_t kVerdicts = 4;

  struct class_metrics
  {
    std::array<prometheus::Counter*, kVerdicts> requests{};
    prometheus::Counter* deadlineMet = nullptr;
    prometheus::Counter* byReplica = nullptr;
    prometheus::Counter* byPrimary = nullptr;
    prometheus::Histogram* seconds = nullptr;
  };

  class_metrics& Find(const std::string& aClass);

  metrics& mMetrics;
  absl::flat_hash_map<std::string, class_metrics> mClasses;
  engine_counters mReported;
  std::size_t mInFlight = 0;
  std::size_t mConnections = 0;
};

} // namespace currantshed::gateway

#endif
