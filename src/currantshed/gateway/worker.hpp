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

/// One thread for traffic: an engine between callers and poolers. What it is
/// told from other threads runs on its own one.
class worker final
  : private request_sink
  , private link_events
{
public:
  /// aNumber tells the threads of one gateway apart.
  worker(const gateway_settings& aSettings,
         unsigned aNumber,
         zmq::context_t& aZmq,
         metrics& aMetrics);
  ~worker() override;

  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Begins to listen, then starts the thread.
  [[nodiscard]] std::error_code Start();

  /// The following may be called by any thread.
  void SetView(fleet_view aView);
  void SetRules(class_rules aRules);

  /// Ends each connection after its next answer.
  void BeginShutdown();

  /// Takes no new connections, and calls back on this worker's thread once
  /// those that it has are gone. A caller may send on a connection that it has
  /// kept unused for long, and can't be told before that the gateway leaves:
  /// the answer tells it, and ends the connection.
  void Drain(std::function<void()> aDrained);

  /// Answers new requests that they have not run.
  void RefuseNew();

  /// Answers all that waits, as at its deadline, and closes idle connections.
  void ExpireAll();

  /// Ends the thread; to be called before the worker's own end.
  void Stop();

private:
  void Submit(caller_request aRequest) override;
  void Cancel(request_number aRequest) override;
  void CountRefused() override;
  void PoolerAnswered(wire::group_answer aAnswer) override;
  void NotSent(group::request_id aRequest) override;
  void PoolerLost(const std::string& aVm) override;

  /// Carries out what the engine wants done.
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
