#include "currantshed/node/metrics.hpp"

namespace currantshed::node {

namespace {

// Seconds: from a read in the own failure domain to the longest time limits of
// statements.
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
                      "Decisions about requests, by outcome and reason"))
  , mTimes(prometheus::BuildHistogram()
             .Name("currantshed_node_request_seconds")
             .Help("Time from a request to its final answer, by outcome")
             .Register(*mRegistry))
  , mStoreCalls(Counter(*mRegistry,
                        "currantshed_node_store_calls_total",
                        "Calls of the platform's store, by result"))
  , mServers(Counter(*mRegistry,
                     "currantshed_node_servers_total",
                     "Servers reached and lost"))
  , mStandings(Counter(*mRegistry,
                       "currantshed_node_server_standings_total",
                       "Servers that came to stand so on the store's list"))
  , mAtLeaving(Counter(*mRegistry,
                       "currantshed_node_requests_at_leaving_servers_total",
                       "Requests whose server had said that it leaves"))
  , mUnusable(Counter(*mRegistry,
                      "currantshed_node_unusable_entries_total",
                      "Entries that name no server to use, by reason"))
  , mLeadSteps(Counter(*mRegistry,
                       "currantshed_node_lead_steps_total",
                       "Steps in changes of primaries"))
  , mSessions(Gauge(*mRegistry,
                    "currantshed_node_sessions",
                    "Sessions that stand open"))
  , mConfiguration(Gauge(*mRegistry,
                         "currantshed_node_configuration_version",
                         "Version of the configuration in force"))
  , mStoreEra(Gauge(*mRegistry,
                    "currantshed_node_store_era",
                    "How often the store has come back from an older copy, as "
                    "it tells"))
{
}

void
metrics::Decided(const proxy::decision& aDecision)
{
  const std::string outcome(aDecision.outcome);
  // Texts of failures vary; only words are labels, and what begins one with a
  // word of its own before a semicolon.
  const auto reason = aDecision.reason.substr(0, aDecision.reason.find(';'));
  const bool isWord = reason.find(' ') == std::string_view::npos;
  mRequests
    .Add({ { "outcome", outcome },
           { "reason", isWord ? std::string(reason) : "" } })
    .Increment();
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
metrics::CountListingState(std::string_view aStanding)
{
  mStandings.Add({ { "now", std::string(aStanding) } }).Increment();
}

void
metrics::CountUnusableEntry(const std::string& aReason)
{
  mUnusable.Add({ { "reason", aReason } }).Increment();
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
