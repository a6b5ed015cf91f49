#ifndef CURRANTSHED_GATEWAY_CONTROL_HPP
#define CURRANTSHED_GATEWAY_CONTROL_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "currantshed/gateway/settings.hpp"
#include "currantshed/gateway/view.hpp"
#include "currantshed/http/status_response.hpp"
#include "currantshed/net/dealer.hpp"
#include "currantshed/wire/codec.hpp"

namespace currantshed::gateway {

/// Receives the updates that control passes to the worker threads.
class control_events
{
public:
  virtual ~control_events() = default;

  virtual void ViewChanged(const fleet_view& aView) = 0;
  virtual void RulesChanged(const class_rules& aRules) = 0;
};

/// Subscribes to views and configurations at the pooler of this VM, passes each
/// update on, and reports whether the gateway is ready. Runs on one io_context;
/// the status may be read from any thread.
class control final : public http::status_source
{
public:
  control(boost::asio::io_context& aContext,
          zmq::context_t& aZmq,
          const gateway_settings& aSettings,
          std::string aIncarnation,
          control_events& aEvents);
  ~control() override;

  control(const control&) = delete;
  control& operator=(const control&) = delete;

  void Start();

  /// Reports the gateway as not ready from now on.
  void BeginShutdown();

  [[nodiscard]] bool Ready() const override;
  [[nodiscard]] std::string StatusJson() const override;

private:
  void RequestUpdates();
  void OnReceived(std::string_view aBytes);
  void ApplyView(const wire::view& aView);
  void ApplyDeclaration(std::uint64_t aVersion, const std::string& aText);

  boost::asio::io_context& mContext;
  const gateway_settings& mSettings;
  std::string mIncarnation;
  control_events& mEvents;
  net::dealer mPooler;
  boost::asio::steady_timer mTimer;
  std::string mEndpoint;

  /// Guards the members below, which the status reads.
  mutable std::mutex mMutex;
  fleet_view mView;
  std::uint64_t mConfiguration = 0;
  clock::time_point mLastReplyAt;
  bool mShuttingDown = false;
};

} // namespace currantshed::gateway

#endif
