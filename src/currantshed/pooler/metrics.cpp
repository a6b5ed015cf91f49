#include "currantshed/pooler/metrics.hpp"

#include <algorithm>

namespace currantshed::pooler {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Family;
using prometheus::Registry;

constexpr std::array kVerdictNames{ "done", "not_run", "unknown", "refused" };
constexpr std::array kServerNames{ "none", "primary", "replica" };

/// Histogram bounds in seconds, from 0.1 ms to the longest deadlines.
const prometheus::Histogram::BucketBoundaries&
RequestBounds()
{
  static const prometheus::Histogram::BucketBoundaries sBounds{
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01,
    0.025,  0.05,    0.1,    0.25,  0.5,    1,     2.5
  };
  return sBounds;
}

const prometheus::Histogram::BucketBoundaries&
FailoverBounds()
{
  static const prometheus::Histogram::BucketBoundaries sBounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10
  };
  return sBounds;
}

Family<prometheus::Counter>&
Counters(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

Family<prometheus::Gauge>&
Gauges(Registry& aRegistry, const char* aName, const char* aHelp)
{
  return BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

double
Seconds(std::chrono::steady_clock::duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

std::size_t
ServerKind(const group::answer& aAnswer)
{
  if (aAnswer.servedBy.empty()) {
    return 0;
  }
  return aAnswer.byReplica ? 2 : 1;
}

} // namespace

group_metrics::group_metrics(Registry& aRegistry,
                             const group::group_name& aGroup)
  : mRegistry(aRegistry)
  , mGroup(aGroup)
{
  auto& answers = Counters(aRegistry,
                           "currantshed_pooler_requests_total",
                           "Requests answered, by outcome and server");
  for (std::size_t verdict = 0; verdict < kVerdicts; ++verdict) {
    for (std::size_t server = 0; server < kServers; ++server) {
      mAnswers[verdict][server] =
        &answers.Add({ { "group", aGroup },
                       { "outcome", kVerdictNames[verdict] },
                       { "server", kServerNames[server] } });
    }
  }
  mSeconds = &BuildHistogram()
                .Name("currantshed_pooler_request_seconds")
                .Help("Time from the arrival of a request to its answer")
                .Register(aRegistry)
                .Add({ { "group", aGroup } }, RequestBounds());
  auto& questions =
    Counters(aRegistry,
             "currantshed_pooler_confirmation_questions_total",
             "Status queries to servers, which confirm positions");
  mStatusAnswered =
    &questions.Add({ { "group", aGroup }, { "result", "answered" } });
  mStatusFailed =
    &questions.Add({ { "group", aGroup }, { "result", "failed" } });
  mPending = &Gauges(aRegistry,
                     "currantshed_pooler_pending",
                     "Requests and transactions in progress")
                .Add({ { "group", aGroup } });
}

void
group_metrics::CountAnswer(const group::answer& aAnswer,
                           std::chrono::steady_clock::duration aAfter)
{
  const auto verdict = static_cast<std::size_t>(aAnswer.verdict);
  mAnswers.at(verdict).at(ServerKind(aAnswer))->Increment();
  mSeconds->Observe(Seconds(aAfter));
}

void
group_metrics::CountStatusQuery(bool aAnswered)
{
  (aAnswered ? mStatusAnswered : mStatusFailed)->Increment();
}

void
group_metrics::SetPending(std::size_t aCount)
{
  mPending->Set(static_cast<double>(aCount));
}

void
group_metrics::AddConnections(const upstream::server_id& aServer, int aBy)
{
  Gauges(mRegistry,
         "currantshed_pooler_connections",
         "Connections for statements, by server")
    .Add({ { "group", mGroup }, { "server", aServer } })
    .Increment(aBy);
}

metrics::metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRefused(Counters(*mRegistry,
                      "currantshed_pooler_messages_refused_total",
                      "Messages that could not be decoded or sent"))
  , mPlatformCalls(Counters(*mRegistry,
                            "currantshed_pooler_platform_calls_total",
                            "Calls to the platform, by kind and result"))
  , mFailovers(Counters(*mRegistry,
                        "currantshed_pooler_failovers_total",
                        "Primaries promoted by this pooler"))
  , mFailoverSteps(BuildHistogram()
                     .Name("currantshed_pooler_failover_step_seconds")
                     .Help("Duration of each step of a failover")
                     .Register(*mRegistry))
{
  auto& beats = Counters(*mRegistry,
                         "currantshed_pooler_heartbeats_total",
                         "Heartbeats between poolers");
  auto& bytes = Counters(*mRegistry,
                         "currantshed_pooler_heartbeat_bytes_total",
                         "Bytes of heartbeats between poolers");
  mBeatsSent = &beats.Add({ { "direction", "sent" } });
  mBeatsReceived = &beats.Add({ { "direction", "received" } });
  mBeatBytesSent = &bytes.Add({ { "direction", "sent" } });
  mBeatBytesReceived = &bytes.Add({ { "direction", "received" } });
  mControlTime = &Counters(*mRegistry,
                           "currantshed_pooler_control_cpu_seconds_total",
                           "CPU time used by the control thread")
                    .Add({});
  mConfigurationVersion = &Gauges(*mRegistry,
                                  "currantshed_pooler_configuration_version",
                                  "Version of the configuration in force")
                             .Add({});
  mLiveVms = &Gauges(*mRegistry,
                     "currantshed_pooler_live_vms",
                     "VMs considered live, including this one")
                .Add({});
}

void
metrics::CountRejectedMessage(const std::string& aWhy)
{
  mRefused.Add({ { "reason", aWhy } }).Increment();
}

void
metrics::CountPlatformCall(const std::string& aCall, bool aReached)
{
  mPlatformCalls
    .Add({ { "call", aCall }, { "result", aReached ? "ok" : "failed" } })
    .Increment();
}

void
metrics::CountHeartbeatSent(std::size_t aBytes)
{
  mBeatsSent->Increment();
  mBeatBytesSent->Increment(static_cast<double>(aBytes));
}

void
metrics::CountHeartbeatReceived(std::size_t aBytes)
{
  mBeatsReceived->Increment();
  mBeatBytesReceived->Increment(static_cast<double>(aBytes));
}

void
metrics::SetControlTime(std::chrono::nanoseconds aUsed)
{
  const double used = Seconds(aUsed);
  mControlTime->Increment(std::max(0.0, used - mControlTime->Value()));
}

void
metrics::SetConfigurationVersion(std::uint64_t aVersion)
{
  mConfigurationVersion->Set(static_cast<double>(aVersion));
}

void
metrics::SetLiveVms(std::size_t aCount)
{
  mLiveVms->Set(static_cast<double>(aCount));
}

void
metrics::CountFailover(const group::group_name& aGroup)
{
  mFailovers.Add({ { "group", aGroup } }).Increment();
}

void
metrics::ObserveFailoverStep(const group::group_name& aGroup,
                             const std::string& aStep,
                             std::chrono::steady_clock::duration aElapsed)
{
  mFailoverSteps
    .Add({ { "group", aGroup }, { "step", aStep } }, FailoverBounds())
    .Observe(Seconds(aElapsed));
}

} // namespace currantshed::pooler
