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

/// The metrics of one group, looked up once so that counting is cheap.
class group_metrics
{
public:
  group_metrics(prometheus::Registry& aRegistry,
                const group::group_name& aGroup);

  /// Counts an answer and the time from its request.
  void CountAnswer(const group::answer& aAnswer,
                   std::chrono::steady_clock::duration aAfter);

  /// Counts a status question by whether it was answered.
  void CountStatusQuery(bool aAnswered);

  void SetPending(std::size_t aCount);

  /// Counts a server's connections up or down.
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

/// All metrics of one pooler; docs/modules/pooler.md lists them. Safe for use
/// by several threads.
class metrics
{
public:
  metrics();

  [[nodiscard]] const std::shared_ptr<prometheus::Registry>& Registry() const
  {
    return mRegistry;
  }

  /// Messages at the request port that could not be read.
  void CountRejectedMessage(const std::string& aWhy);

  void CountPlatformCall(const std::string& aCall, bool aReached);

  void CountHeartbeatSent(std::size_t aBytes);
  void CountHeartbeatReceived(std::size_t aBytes);

  /// Processor time that the control thread has used so far.
  void SetControlTime(std::chrono::nanoseconds aUsed);

  void SetConfigurationVersion(std::uint64_t aVersion);
  void SetLiveVms(std::size_t aCount);

  /// A primary promoted by this pooler.
  void CountFailover(const group::group_name& aGroup);

  /// Time that one step of a failover took.
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
