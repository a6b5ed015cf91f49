#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "bin/currantshed-gateway/options.hpp"
#include "currantshed/gateway/control.hpp"
#include "currantshed/gateway/metrics.hpp"
#include "currantshed/gateway/worker.hpp"
#include "currantshed/http/status_server.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/net/zmq_context.hpp"

namespace {

using namespace currantshed;
using boost::system::error_code;

/// Exit code of a gateway that could not start to listen.
constexpr int kStartFailed = 1;

/// How long the gateway keeps accepting connections after it reports not ready,
/// so that load balancers notice first; at most the drain timeout divided by
/// kNotReadyDivisor.
constexpr std::chrono::milliseconds kNotReadyPeriod{ 1000 };
constexpr int kNotReadyDivisor = 4;

/// New requests are rejected after the drain timeout divided by
/// kServingDivisor, so that earlier ones can complete within the timeout.
constexpr int kServingDivisor = 2;

/// Time to write the last responses after the drain timeout.
constexpr std::chrono::milliseconds kFinalWritePeriod{ 300 };

/// The main thread: signals, the status port, control, and the shutdown
/// sequence.
class gateway_process final : private gateway::control_events
{
public:
  explicit gateway_process(const gateway::options& aOptions)
    : mOptions(aOptions)
    , mControl(mContext, mZmq, aOptions.settings, aOptions.incarnation, *this)
    , mStatus(mContext,
              aOptions.settings.address,
              aOptions.settings.statusPort,
              mMetrics.Registry(),
              mControl)
    , mSignals(mContext, SIGTERM, SIGINT)
    , mTimer(mContext)
  {
    for (unsigned at = 0; at < aOptions.settings.threads; ++at) {
      mWorkers.push_back(std::make_unique<gateway::worker>(
        aOptions.settings, at, mZmq, mMetrics));
    }
  }

  int Run()
  {
    const bool started = Start();
    if (started) {
      mContext.run();
    }
    for (const auto& worker : mWorkers) {
      worker->Stop();
    }
    log::Write(log::level::kInfo, "stopped");
    return started ? 0 : kStartFailed;
  }

private:
  static bool LogIfFailed(const std::string& aWhat, std::error_code aError)
  {
    if (!aError) {
      return false;
    }
    log::Write(log::level::kError,
               "start_failed",
               { { "what", aWhat }, { "reason", aError.message() } });
    return true;
  }

  bool Start()
  {
    for (const auto& worker : mWorkers) {
      if (LogIfFailed("caller_port", worker->Start())) {
        return false;
      }
    }
    if (LogIfFailed("status_port", mStatus.Start())) {
      return false;
    }
    mControl.Start();
    log::Write(log::level::kInfo,
               "started",
               { { "incarnation", mOptions.incarnation } });
    mSignals.async_wait([this](const error_code& aError, int aSignal) {
      if (!aError) {
        BeginShutdown(aSignal);
      }
    });
    return true;
  }

  void ViewChanged(const gateway::fleet_view& aView) override
  {
    for (const auto& worker : mWorkers) {
      worker->SetView(aView);
    }
  }

  void RulesChanged(const gateway::class_rules& aRules) override
  {
    for (const auto& worker : mWorkers) {
      worker->SetRules(aRules);
    }
  }

  void BeginShutdown(int aSignal)
  {
    log::Write(log::level::kInfo,
               "signal",
               { { "number", static_cast<std::int64_t>(aSignal) } });
    const auto now = std::chrono::steady_clock::now();
    mServeUntil = now + mOptions.settings.drainTimeout / kServingDivisor;
    mDrainBy = now + mOptions.settings.drainTimeout;
    mControl.BeginShutdown();
    for (const auto& worker : mWorkers) {
      worker->BeginShutdown();
    }
    const auto notice = std::min<std::chrono::milliseconds>(
      kNotReadyPeriod, mOptions.settings.drainTimeout / kNotReadyDivisor);
    ScheduleAt(now + notice, &gateway_process::Drain);
  }

  void Drain()
  {
    mUndrainedWorkers = mWorkers.size();
    for (const auto& worker : mWorkers) {
      worker->Drain(
        [this] { boost::asio::post(mContext, [this] { OnWorkerDrained(); }); });
    }
    ScheduleAt(mServeUntil, &gateway_process::RefuseNew);
  }

  void RefuseNew()
  {
    for (const auto& worker : mWorkers) {
      worker->RefuseNew();
    }
    ScheduleAt(mDrainBy, &gateway_process::ExpireAll);
  }

  void OnWorkerDrained()
  {
    --mUndrainedWorkers;
    if (mUndrainedWorkers == 0) {
      log::Write(log::level::kInfo, "drained");
      StopLoop();
    }
  }

  void ExpireAll()
  {
    log::Write(
      log::level::kWarning,
      "drain_timed_out",
      { { "threads_left", static_cast<std::int64_t>(mUndrainedWorkers) } });
    for (const auto& worker : mWorkers) {
      worker->ExpireAll();
    }
    ScheduleAt(std::chrono::steady_clock::now() + kFinalWritePeriod,
               &gateway_process::StopLoop);
  }

  void StopLoop()
  {
    mTimer.cancel();
    mStatus.Stop();
    mContext.stop();
  }

  void ScheduleAt(clock::time_point aTime, void (gateway_process::*aNext)())
  {
    mTimer.expires_at(aTime);
    mTimer.async_wait([this, aNext](const error_code& aError) {
      if (!aError) {
        (this->*aNext)();
      }
    });
  }

  const gateway::options& mOptions;
  zmq::context_t mZmq = net::MakeContext();
  boost::asio::io_context mContext;
  gateway::metrics mMetrics;
  gateway::control mControl;
  std::vector<std::unique_ptr<gateway::worker>> mWorkers;
  http::status_server mStatus;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTimer;
  clock::time_point mServeUntil;
  clock::time_point mDrainBy;
  std::size_t mUndrainedWorkers = 0;
};

} // namespace

int
main(int aCount, char** aValues)
{
  gateway::options options;
  const auto parsed = gateway::ReadOptions(options, aCount, aValues);
  if (parsed.end == settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  log::Start({ "currantshed-gateway",
               options.settings.vm,
               options.settings.failureDomain },
             options.logLevel);
  try {
    gateway_process process(options);
    return process.Run();
  } catch (const std::exception& error) {
    log::Write(log::level::kError,
               "failed",
               { { "reason", std::string(error.what()) } });
    return kStartFailed;
  }
}
