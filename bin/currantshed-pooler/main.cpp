#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bin/currantshed-pooler/options.hpp"
#include "currantshed/http/status_server.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/net/zmq_context.hpp"
#include "currantshed/pooler/control.hpp"
#include "currantshed/pooler/metrics.hpp"
#include "currantshed/pooler/status_reporter.hpp"
#include "currantshed/pooler/traffic.hpp"

namespace {

using namespace currantshed;

/// Exit code if a port cannot be bound.
constexpr int kStartFailed = 1;

/// Time for which the pooler still accepts work after announcing that it is
/// leaving, so that gateways learn of it first.
constexpr std::chrono::milliseconds kLeaveNotice{ 300 };

/// The main thread: signals, the status port, and the shutdown sequence.
class pooler_process
{
public:
  explicit pooler_process(const pooler::options& aOptions)
    : mOptions(aOptions)
    , mStatusReporter(aOptions.settings)
    , mTraffic(aOptions.settings, mZmq, mMetrics, mStatusReporter)
    , mControl(aOptions.settings, mZmq, mMetrics, mStatusReporter, mTraffic)
    , mStatus(mContext,
              aOptions.settings.self.address,
              aOptions.settings.self.statusPort,
              mMetrics.Registry(),
              mStatusReporter)
    , mSignals(mContext, SIGTERM, SIGINT)
    , mTimer(mContext)
  {
  }

  int Run()
  {
    if (Failed("request_port", mTraffic.Start()) ||
        Failed("peer_port", mControl.Start()) ||
        Failed("status_port", mStatus.Start())) {
      return kStartFailed;
    }
    log::Write(log::level::kInfo,
               "started",
               { { "incarnation", mOptions.settings.incarnation } });
    mSignals.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (!aError) {
          Leave(aSignal);
        }
      });
    mContext.run();
    mControl.Stop();
    mTraffic.Stop();
    log::Write(log::level::kInfo, "stopped");
    return 0;
  }

private:
  static bool Failed(const std::string& aWhat, std::error_code aError)
  {
    if (!aError) {
      return false;
    }
    log::Write(log::level::kError,
               "start_failed",
               { { "what", aWhat }, { "reason", aError.message() } });
    return true;
  }

  void Leave(int aSignal)
  {
    log::Write(log::level::kInfo,
               "signal",
               { { "number", static_cast<std::int64_t>(aSignal) } });
    mControl.Leave();
    mTimer.expires_after(kLeaveNotice);
    mTimer.async_wait([this](const boost::system::error_code&) { Drain(); });
  }

  void Drain()
  {
    mTraffic.Drain(
      [this] { boost::asio::post(mContext, [this] { End("drained"); }); });
    mTimer.expires_after(mOptions.drainTimeout);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        End("drain_timed_out");
      }
    });
  }

  void End(const std::string& aHow)
  {
    log::Write(log::level::kInfo, aHow);
    mTimer.cancel();
    mStatus.Stop();
    mContext.stop();
  }

  const pooler::options& mOptions;
  zmq::context_t mZmq = net::MakeContext();
  boost::asio::io_context mContext;
  pooler::metrics mMetrics;
  pooler::status_reporter mStatusReporter;
  pooler::traffic mTraffic;
  pooler::control mControl;
  http::status_server mStatus;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTimer;
};

} // namespace

int
main(int aCount, char** aValues)
{
  pooler::options options;
  const auto parsed = pooler::ReadOptions(options, aCount, aValues);
  if (parsed.end == settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  log::Start({ "currantshed-pooler",
               options.settings.self.id,
               options.settings.self.failureDomain },
             options.logLevel);
  try {
    pooler_process process(options);
    return process.Run();
  } catch (const std::exception& error) {
    log::Write(log::level::kError,
               "failed",
               { { "reason", std::string(error.what()) } });
    return kStartFailed;
  }
}
