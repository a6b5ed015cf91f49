#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "bin/currantshed-node/options.hpp"
#include "currantshed/http/status_server.hpp"
#include "currantshed/log/log.hpp"
#include "currantshed/node/control.hpp"
#include "currantshed/node/metrics.hpp"
#include "currantshed/node/traffic.hpp"
#include "platform/documents.hpp"
#include "platform/settings_file.hpp"
#include "platform/statement_line.hpp"
#include "platform/store_client.hpp"

namespace {

using namespace currantshed;

/// Exit code if a listening address could not be opened.
constexpr int kStartFailed = 1;
/// Divisor of the time that a draining server has: only the first part is used
/// for new work. The rest is for its announcement to arrive, which takes up to
/// three seconds if a connection to the store is silently broken, and for work
/// in progress.
constexpr int kDrainingUseDivisor = 2;

/// Readiness for the status servers.
class node_status final : public http::status_source
{
public:
  explicit node_status(const node::control& aControl)
    : mControl(aControl)
  {
  }

  [[nodiscard]] bool Ready() const override { return mControl.IsReady(); }

  [[nodiscard]] std::string_view ReadyPath() const override
  {
    return platform::kReadyPath;
  }

  [[nodiscard]] std::string StatusJson() const override
  {
    return mControl.IsReady() ? R"({"ready":true})" : R"({"ready":false})";
  }

private:
  const node::control& mControl;
};

/// The process: its two threads, signal handling and the order of shutdown.
class node_process
{
public:
  node_process(const node::options& aOptions,
               const node::node_settings& aSettings)
    : mOptions(aOptions)
    , mSettings(aSettings)
    , mTraffic(mSettings,
               { mSettings.vm,
                 mSettings.failureDomain,
                 aOptions.lead.validity,
                 mSettings.leavingTime / kDrainingUseDivisor },
               mLineCodec,
               mMetrics)
    , mControl(
        mSettings,
        aOptions.lead,
        mDocuments,
        [this](boost::asio::io_context& aContext) {
          return node::platform_access{
            platform::MakeStoreClient(aContext, mSettings.store),
            platform::MakePromoter(aContext, mSettings.promotion)
          };
        },
        mTraffic,
        mMetrics)
    , mStatus(mControl)
    , mReadiness(mControl.Context(),
                 mSettings.readiness.host,
                 mSettings.readiness.port,
                 mMetrics.Registry(),
                 mStatus)
    , mMetricsServer(mControl.Context(),
                     mSettings.metrics.host,
                     mSettings.metrics.port,
                     mMetrics.Registry(),
                     mStatus)
    , mSignals(mTraffic.Context(), SIGTERM, SIGINT, SIGHUP)
  {
  }

  int Run()
  {
    if (ReportFailure("callers", mTraffic.Listen()) ||
        ReportFailure("readiness", mReadiness.Start()) ||
        ReportFailure("metrics", mMetricsServer.Start()) ||
        ReportFailure("peers", mControl.Start())) {
      return kStartFailed;
    }
    log::Write(log::level::kInfo,
               "started",
               { { "callers_port",
                   static_cast<std::int64_t>(mSettings.callers.port) } });
    AwaitSignal();
    mTraffic.Run();
    mControl.Stop();
    log::Write(log::level::kInfo, "stopped");
    return 0;
  }

private:
  static bool ReportFailure(const std::string& aWhat, std::error_code aError)
  {
    if (!aError) {
      return false;
    }
    log::Write(log::level::kError,
               "start_failed",
               { { "what", aWhat }, { "reason", aError.message() } });
    return true;
  }

  void AwaitSignal()
  {
    mSignals.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (aError) {
          return;
        }
        if (aSignal == SIGHUP) {
          Reload();
        } else {
          BeginShutdown(aSignal);
        }
        AwaitSignal();
      });
  }

  void BeginShutdown(int aSignal)
  {
    if (mIsStopping) {
      return;
    }
    mIsStopping = true;
    log::Write(log::level::kInfo,
               "stopping",
               { { "signal", static_cast<std::int64_t>(aSignal) } });
    mControl.BeginShutdown();
    mTraffic.Drain(mSettings.stopTime);
  }

  // Listening addresses cannot change while connections are open. The stop time
  // is the only setting that is applied on reload.
  void Reload()
  {
    std::string whyNot;
    const auto read = platform::ReadSettingsFile(mOptions.settingsPath, whyNot);
    if (!read) {
      log::Write(
        log::level::kError, "settings_unusable", { { "reason", whyNot } });
      return;
    }
    log::Write(log::level::kInfo,
               "settings_read",
               { { "changed", !(*read == mSettings) } });
    mSettings.stopTime = read->stopTime;
  }

  const node::options& mOptions;
  node::node_settings mSettings;
  platform::statement_line_codec mLineCodec;
  platform::json_documents mDocuments;
  node::metrics mMetrics;
  node::traffic mTraffic;
  node::control mControl;
  node_status mStatus;
  http::status_server mReadiness;
  http::status_server mMetricsServer;
  boost::asio::signal_set mSignals;
  bool mIsStopping = false;
};

} // namespace

int
main(int aCount, char** aValues)
{
  node::options options;
  const auto parsed = node::ReadOptions(options, aCount, aValues);
  if (parsed.end == settings::parse_end::kExit) {
    return parsed.exitCode;
  }
  std::string whyNot;
  const auto nodeSettings =
    platform::ReadSettingsFile(options.settingsPath, whyNot);
  if (!nodeSettings) {
    std::cerr << "currantshed-node: " << options.settingsPath << ": " << whyNot
              << '\n';
    return settings::kUsageExitCode;
  }
  log::Start(
    { "currantshed-node", nodeSettings->vm, nodeSettings->failureDomain },
    options.logLevel);
  try {
    node_process process(options, *nodeSettings);
    return process.Run();
  } catch (const std::exception& error) {
    log::Write(log::level::kError,
               "failed",
               { { "reason", std::string(error.what()) } });
    return kStartFailed;
  }
}
