#include "currantshed/gateway/metrics.hpp"

#include <chrono>

#include "currantshed/gateway/error.hpp"
#include "currantshed/gateway/json_codec.hpp"

namespace currantshed::gateway {

namespace {

/// Class label of requests that are rejected before their class is known.
constexpr const char* kNoClass = "none";

const prometheus::Histogram::BucketBoundaries kBounds{
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10
};

prometheus::Family<prometheus::Counter>&
CounterFamily(prometheus::Registry& aRegistry,
              const char* aName,
              const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Counter&
Counter(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return CounterFamily(aRegistry, aName, aHelp).Add({});
}

prometheus::Gauge&
Gauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({});
}

void
Raise(prometheus::Counter& aCounter, std::uint64_t aFrom, std::uint64_t aTo)
{
  if (aTo > aFrom) {
    aCounter.Increment(static_cast<double>(aTo - aFrom));
  }
}

void
Move(prometheus::Gauge& aGauge, std::size_t& aFrom, std::size_t aTo)
{
  aGauge.Increment(static_cast<double>(aTo) - static_cast<double>(aFrom));
  aFrom = aTo;
}

std::string
VerdictLabel(std::size_t aVerdict)
{
  caller_answer answer;
  answer.verdict = static_cast<outcome::verdict>(aVerdict);
  return std::string(VerdictName(answer));
}

} // namespace

metrics::metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRequests(CounterFamily(*mRegistry,
                            "currantshed_requests_total",
                            "Callers' requests answered, by outcome"))
  , mDeadlineMet(CounterFamily(*mRegistry,
                               "currantshed_deadline_met_total",
                               "Requests completed within their deadline"))
  , mReads(CounterFamily(*mRegistry,
                         "currantshed_reads_total",
                         "Completed reads, by the role of the server"))
  , mSeconds(prometheus::BuildHistogram()
               .Name("currantshed_request_seconds")
               .Help("Latency from request to response")
               .Register(*mRegistry))
  , mRefusals(Counter(*mRegistry,
                      "currantshed_refusals_total",
                      "Requests rejected for lack of capacity"))
  , mReconfirmations(Counter(*mRegistry,
                             "currantshed_reconfirmations_total",
                             "Reconfirmations of expired confirmations"))
  , mResolutions(Counter(*mRegistry,
                         "currantshed_resolutions_total",
                         "Unknown outcomes resolved by idempotency key"))
  , mRetries(Counter(*mRegistry,
                     "currantshed_retries_total",
                     "Requests retried at another pooler"))
  , mAbandoned(Counter(*mRegistry,
                       "currantshed_abandoned_total",
                       "Requests whose caller disconnected"))
  , mInFlight(
      Gauge(*mRegistry, "currantshed_requests_in_flight", "Requests in flight"))
  , mConnections(Gauge(*mRegistry,
                       "currantshed_caller_connections",
                       "Open caller connections"))
{
}

recorder::recorder(metrics& aMetrics)
  : mMetrics(aMetrics)
{
}

void
recorder::Answered(const give_answer& aAnswer)
{
  class_metrics& found = Find(aAnswer.workClass);
  const auto verdict = static_cast<std::size_t>(aAnswer.answer.verdict);
  found.requests[verdict]->Increment();
  const std::chrono::duration<double> seconds = aAnswer.latency;
  found.seconds->Observe(seconds.count());
  if (aAnswer.deadlineMet) {
    found.deadlineMet->Increment();
  }
  if (aAnswer.read) {
    (aAnswer.answer.byReplica ? found.byReplica : found.byPrimary)->Increment();
  }
}

void
recorder::CountRefused()
{
  constexpr auto kRefused =
    static_cast<std::size_t>(outcome::verdict::kRefused);
  Find({}).requests[kRefused]->Increment();
}

void
recorder::Update(const engine_counters& aCounters,
                 std::size_t aInFlight,
                 std::size_t aConnections)
{
  Raise(mMetrics.mRefusals, mReported.refusals, aCounters.refusals);
  Raise(mMetrics.mReconfirmations,
        mReported.reconfirmations,
        aCounters.reconfirmations);
  Raise(mMetrics.mResolutions, mReported.resolutions, aCounters.resolutions);
  Raise(mMetrics.mRetries, mReported.retries, aCounters.retries);
  Raise(mMetrics.mAbandoned, mReported.abandoned, aCounters.abandoned);
  mReported = aCounters;
  Move(mMetrics.mInFlight, mInFlight, aInFlight);
  Move(mMetrics.mConnections, mConnections, aConnections);
}

recorder::class_metrics&
recorder::Find(const std::string& aClass)
{
  const auto [place, added] = mClasses.try_emplace(aClass);
  class_metrics& found = place->second;
  if (!added) {
    return found;
  }
  const std::string name = aClass.empty() ? kNoClass : aClass;
  for (std::size_t at = 0; at < kVerdicts; ++at) {
    found.requests[at] = &mMetrics.mRequests.Add(
      { { "class", name }, { "outcome", VerdictLabel(at) } });
  }
  found.deadlineMet = &mMetrics.mDeadlineMet.Add({ { "class", name } });
  found.byReplica =
    &mMetrics.mReads.Add({ { "class", name }, { "by", "replica" } });
  found.byPrimary =
    &mMetrics.mReads.Add({ { "class", name }, { "by", "primary" } });
  found.seconds = &mMetrics.mSeconds.Add({ { "class", name } }, kBounds);
  return found;
}

} // namespace currantshed::gateway
