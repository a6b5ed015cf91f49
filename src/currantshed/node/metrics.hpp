#ifndef CURRANTSHED_NODE_METRICS_HPP
#define CURRANTSHED_NODE_METRICS_HPP

#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "currantshed/node/fwd.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::node {

/// Counters and histograms of one process; safe for use by several threads.
class metrics
{
public:
  metrics();

  /// Counts what became of a request, and how long that took.
  void Decided(const proxy::decision& aDecision);

  /// Counts a call of the platform's store by its result.
  void CountStoreCall(std::string_view aResult);

  void CountServerReached(bool aIsReached);
  /// Counts what became of servers on the store's list.
  void CountListingState(std::string_view aStanding);
  /// Counts an entry that names no server to use, by the reason.
  void CountUnusableEntry(const std::string& aReason);
  void CountLeadStep(std::string_view aStep);
  void SetSessions(std::size_t aCount);
  void SetConfiguration(std::uint64_t aVersion);
  /// Shows how often the store has come back from an older copy.
  void SetStoreEra(std::uint64_t aEra);

  [[nodiscard]] std::shared_ptr<prometheus::Registry> Registry() const
  {
    return mRegistry;
  }

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mTimes;
  prometheus::Family<prometheus::Counter>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mServers;
  prometheus::Family<prometheus::Counter>& mStandings;
  prometheus::Family<prometheus::Counter>& mAtLeaving;
  prometheus::Family<prometheus::Counter>& mUnusable;
  prometheus::Family<prometheus::Counter>& mLeadSteps;
  prometheus::Gauge& mSessions;
  prometheus::Gauge& mConfiguration;
  prometheus::Gauge& mStoreEra;
};

} // namespace currantshed::node

#endif
