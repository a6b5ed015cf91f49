#include "currantshed/node/metrics.hpp"

namespace currantshed::node {

namespace {

// In seconds: from reads within the failure domain to the longest time limits
// of statements.
const prometheus::Histogram::BucketBoundaries&
Boundaries()
{
  static const prometheus::Histogram::BucketBoundaries sBoundaries{
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5
  };
  return sBoundaries;
}

prometheus::Family<prometheus::Counter>&
Counter(prometheus::Registry& aRegistry,
        const std::string& aName,
        const std::string& aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Gauge&
Gauge(prometheus::Registry& aRegistry,
      const std::string& aName,
      const std::string& aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({});
}

} // namespace

metrics::metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRequests(Counter(*mRegistry,
                      "currantshed_node_requests_total",
                      "Number of decisions on requests, by outcome and reason"))
  , mRejections(
      Counter(*mRegistry,
              "currantshed_node_rejections_total",
              "Number of requests rejected as busy, by priority and reason"))
  , mTimes(prometheus::BuildHistogram()
             .Name("currantshed_node_request_seconds")
             .Help("Time from a request to its final answer, by outcome")
             .Register(*mRegistry))
  , mStoreCalls(Counter(*mRegistry,
                        "currantshed_node_store_calls_total",
                        "Number of calls of the store, by result"))
  , mServers(Counter(*mRegistry,
                     "currantshed_node_servers_total",
                     "Number of times a server was reached or lost"))
  , mConnections(Counter(*mRegistry,
                         "currantshed_node_customer_connections_total",
                         "Number of customers' connections opened or closed, "
                         "by reason"))
  , mEjections(Counter(*mRegistry,
                       "currantshed_node_ejections_total",
                       "Number of times that reads began to avoid a server "
                       "that fails, by reason"))
  , mListingStates(
      Counter(*mRegistry,
              "currantshed_node_server_standings_total",
              "Number of state changes of listed servers, by new state"))
  , mAtLeaving(Counter(*mRegistry,
                       "currantshed_node_requests_at_leaving_servers_total",
                       "Number of requests on a draining server, by outcome"))
  , mUnusableEntries(
      Counter(*mRegistry,
              "currantshed_node_unusable_entries_total",
              "Number of server entries that cannot be used, by reason"))
  , mLeadSteps(Counter(*mRegistry,
                       "currantshed_node_lead_steps_total",
                       "Number of failover steps, by step"))
  , mSessions(
      Gauge(*mRegistry, "currantshed_node_sessions", "Number of open sessions"))
  , mConfiguration(Gauge(*mRegistry,
                         "currantshed_node_configuration_version",
                         "Version of the configuration in force"))
  , mStoreEra(
      Gauge(*mRegistry,
            "currantshed_node_store_era",
            "Number of restores of the store from an older snapshot, as "
            "reported by the store"))
{
}

void
metrics::Decided(const proxy::decision& aDecision)
{
  const std::string outcome(aDecision.outcome);
  // Reasons may be free text, which must not become label values. Only single
  // words are used, or the word before a semicolon.
  const auto reason = aDecision.reason.substr(0, aDecision.reason.find(';'));
  const bool isWord = reason.find(' ') == std::string_view::npos;
  mRequests
    .Add({ { "outcome", outcome },
           { "reason", isWord ? std::string(reason) : "" } })
    .Increment();
  if (aDecision.outcome == proxy::NameOf(proxy::failure_code::kBusy)) {
    mRejections
      .Add({ { "priority", std::to_string(aDecision.priority) },
             { "reason", isWord ? std::string(reason) : "" } })
      .Increment();
  }
  if (aDecision.drainingFor) {
    mAtLeaving.Add({ { "outcome", outcome } }).Increment();
  }
  if (aDecision.isFinal) {
    mTimes.Add({ { "outcome", outcome } }, Boundaries())
      .Observe(std::chrono::duration<double>(aDecision.waited).count());
  }
}

void
metrics::CountStoreCall(std::string_view aResult)
{
  mStoreCalls.Add({ { "result", std::string(aResult) } }).Increment();
}

void
metrics::CountServerReached(bool aIsReached)
{
  mServers.Add({ { "now", aIsReached ? "reached" : "lost" } }).Increment();
}

void
metrics::CountConnection(std::string_view aEvent, std::string_view aReason)
{
  mConnections
    .Add(
      { { "event", std::string(aEvent) }, { "reason", std::string(aReason) } })
    .Increment();
}

void
metrics::CountEjection(std::string_view aReason)
{
  mEjections.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
metrics::CountListingState(std::string_view aState)
{
  mListingStates.Add({ { "now", std::string(aState) } }).Increment();
}

void
metrics::CountUnusableEntry(const std::string& aReason)
{
  mUnusableEntries.Add({ { "reason", aReason } }).Increment();
}

void
metrics::CountLeadStep(std::string_view aStep)
{
  mLeadSteps.Add({ { "step", std::string(aStep) } }).Increment();
}

void
metrics::SetSessions(std::size_t aCount)
{
  mSessions.Set(static_cast<double>(aCount));
}

void
metrics::SetConfiguration(std::uint64_t aVersion)
{
  mConfiguration.Set(static_cast<double>(aVersion));
}

void
metrics::SetStoreEra(std::uint64_t aEra)
{
  mStoreEra.Set(static_cast<double>(aEra));
}

} // namespace currantshed::node
