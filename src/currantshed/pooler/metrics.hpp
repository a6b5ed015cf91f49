#ifndef CURRANTSHED_POOLER_METRICS_HPP
#define CURRANTSHED_POOLER_METRICS_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "currantshed/group/request.hpp"
#include "currantshed/pooler/fwd.hpp"

namespace currantshed::pooler {

/// Metrics of one group. Looks the counters up once, so that counting is cheap.
class group_metrics
{
public:
  group_metrics(prometheus::Registry& aRegistry,
                const group::group_name& aGroup);

  /// Counts an answer and records the time since its request.
  void CountAnswer(const group::answer& aAnswer,
                   std::chrono::steady_clock::duration aAfter);

  /// Counts a status query by whether it was answered.
  void CountStatusQuery(bool aAnswered);

  void SetPending(std::size_t aCount);

  /// Adds to the number of open connections to a server; negative to subtract.
  void AddConnections(const upstream::server_id& aServer, int aBy);

private:
  static constexpr std::size_t kVerdicts = 4;
  static constexpr std::size_t kServers = 3;

  prometheus::Registry& mRegistry;
  group::group_name mGroup;
  std::array<std::array<prometheus::Counter*, kServers>, kVerdicts> mAnswers{};
  prometheus::Histogram* mSeconds;
  prometheus::Counter* mStatusAnswered;
  prometheus::Counter* mStatusFailed;
  prometheus::Gauge* mPending;
};

/// All metrics of one pooler, listed in docs/modules/pooler.md. Thread-safe.
class metrics
{
public:
  metrics();

  [[nodiscard]] const std::shared_ptr<prometheus::Registry>& Registry() const
  {
    return mRegistry;
  }

  /// Counts a message that could not be decoded, or an answer that could not be
  /// sent.
  void CountRejectedMessage(const std::string& aWhy);

  void CountPlatformCall(const std::string& aCall, bool aReached);

  void CountHeartbeatSent(std::size_t aBytes);
  void CountHeartbeatReceived(std::size_t aBytes);

  /// Sets the CPU time used by the control thread so far.
  void SetControlTime(std::chrono::nanoseconds aUsed);

  void SetConfigurationVersion(std::uint64_t aVersion);
  void SetLiveVms(std::size_t aCount);

  /// Counts a failover in which this pooler promoted the primary.
  void CountFailover(const group::group_name& aGroup);

  /// Records the duration of one step of a failover.
  void ObserveFailoverStep(const group::group_name& aGroup,
                           const std::string& aStep,
                           std::chrono::steady_clock::duration aElapsed);

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRefused;
  prometheus::Family<prometheus::Counter>& mPlatformCalls;
  prometheus::Family<prometheus::Counter>& mFailovers;
  prometheus::Family<prometheus::Histogram>& mFailoverSteps;
  prometheus::Counter* mBeatsSent;
  prometheus::Counter* mBeatsReceived;
  prometheus::Counter* mBeatBytesSent;
  prometheus::Counter* mBeatBytesReceived;
  prometheus::Counter* mControlTime;
  prometheus::Gauge* mConfigurationVersion;
  prometheus::Gauge* mLiveVms;
};

} // namespace currantshed::pooler

#endif
