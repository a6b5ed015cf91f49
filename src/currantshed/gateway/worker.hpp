#ifndef CURRANTSHED_GATEWAY_WORKER_HPP
#define CURRANTSHED_GATEWAY_WORKER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>

#include <absl/random/random.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "currantshed/gateway/caller_server.hpp"
#include "currantshed/gateway/engine.hpp"
#include "currantshed/gateway/metrics.hpp"
#include "currantshed/gateway/pooler_links.hpp"
#include "currantshed/gateway/settings.hpp"
#include "currantshed/net/tick_timer.hpp"

namespace currantshed::gateway {

/// One worker thread with an engine between callers and poolers. Calls from
/// other threads are posted to its own thread.
class worker final
  : private request_sink
  , private link_events
{
public:
  /// aNumber distinguishes the threads of one gateway.
  worker(const gateway_settings& aSettings,
         unsigned aNumber,
         zmq::context_t& aZmq,
         metrics& aMetrics);
  ~worker() override;

  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Starts to listen, then starts the thread.
  [[nodiscard]] std::error_code Start();

  /// The following are thread-safe.
  void SetView(fleet_view aView);
  void SetRules(class_rules aRules);

  /// Closes each connection after its next response.
  void BeginShutdown();

  /// Stops accepting connections and calls aDrained on this worker's thread
  /// once all connections are closed. A caller with a long-idle connection
  /// learns of the shutdown only from its next response, which closes the
  /// connection.
  void Drain(std::function<void()> aDrained);

  /// Rejects new requests as not run.
  void RefuseNew();

  /// Answers all pending requests as if their deadlines had passed, and closes
  /// idle connections.
  void ExpireAll();

  /// Stops the thread; must be called before the worker is destroyed.
  void Stop();

private:
  void Submit(caller_request aRequest) override;
  void Cancel(request_number aRequest) override;
  void CountRefused() override;
  void PoolerAnswered(wire::group_answer aAnswer) override;
  void NotSent(group::request_id aRequest) override;
  void PoolerLost(const std::string& aVm) override;

  /// Executes the engine's pending actions.
  void RunActions();
  void UpdateMetrics();
  void CheckDrained();

  const gateway_settings& mSettings;
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::unique_ptr<request_engine> mEngine;
  pooler_links mLinks;
  caller_server mServer;
  recorder mRecorder;
  net::tick_timer mTick;
  boost::asio::steady_timer mMetricsTimer;
  absl::BitGen mRandom;
  std::function<void()> mDrained;
  std::thread mThread;
};

} // namespace currantshed::gateway

#endif
