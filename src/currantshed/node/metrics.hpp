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

/// Metrics of one process. Thread-safe.
class metrics
{
public:
  metrics();

  /// Counts a request's outcome and records its duration.
  void Decided(const proxy::decision& aDecision);

  /// Counts a call of the store by its result.
  void CountStoreCall(std::string_view aResult);

  void CountServerReached(bool aIsReached);
  /// Counts a connection of a customer that was opened or closed, by reason.
  void CountConnection(std::string_view aEvent, std::string_view aReason);
  /// Counts an ejection of a server from the choice for reads, by the reason.
  void CountEjection(std::string_view aReason);
  /// Counts a change of a listed server's state.
  void CountListingState(std::string_view aState);
  /// Counts an entry that cannot be used, by the reason.
  void CountUnusableEntry(const std::string& aReason);
  void CountLeadStep(std::string_view aStep);
  void SetSessions(std::size_t aCount);
  void SetConfiguration(std::uint64_t aVersion);
  /// Sets how often the store has been restored from an older snapshot.
  void SetStoreEra(std::uint64_t aEra);

  [[nodiscard]] std::shared_ptr<prometheus::Registry> Registry() const
  {
    return mRegistry;
  }

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mRejections;
  prometheus::Family<prometheus::Histogram>& mTimes;
  prometheus::Family<prometheus::Counter>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mServers;
  prometheus::Family<prometheus::Counter>& mConnections;
  prometheus::Family<prometheus::Counter>& mEjections;
  prometheus::Family<prometheus::Counter>& mListingStates;
  prometheus::Family<prometheus::Counter>& mAtLeaving;
  prometheus::Family<prometheus::Counter>& mUnusableEntries;
  prometheus::Family<prometheus::Counter>& mLeadSteps;
  prometheus::Gauge& mSessions;
  prometheus::Gauge& mConfiguration;
  prometheus::Gauge& mStoreEra;
};

} // namespace currantshed::node

#endif
