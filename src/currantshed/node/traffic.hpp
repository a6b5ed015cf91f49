#ifndef CURRANTSHED_NODE_TRAFFIC_HPP
#define CURRANTSHED_NODE_TRAFFIC_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/net/tick_timer.hpp"
#include "currantshed/node/caller_server.hpp"
#include "currantshed/node/metrics.hpp"
#include "currantshed/node/server_connector.hpp"
#include "currantshed/node/settings.hpp"
#include "currantshed/node/token_client.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::node {

/// Events for the control thread; called on the traffic thread.
struct traffic_listener
{
  std::function<void(const std::string&)> needsConfirmation;
  std::function<void(const std::string&, position::term_id)> leadershipDenied;
  std::function<void(const std::string&, unsigned)> needsTokens;
};

/// The traffic thread: callers, servers, and the engine between them. All
/// functions except the constructor and those marked otherwise must be called
/// on this thread.
class traffic final : private proxy::engine_host
{
public:
  /// Receives the result of a control command and the time of the last contact
  /// with its server.
  using control_callback =
    std::function<void(proxy::control_result,
                       std::optional<clock::time_point>)>;

  using contacts_callback =
    std::function<void(std::vector<proxy::server_contact>)>;

  traffic(const node_settings& aSettings,
          const proxy::engine_settings& aEngine,
          const line_codec& aCodec,
          metrics& aMetrics);
  ~traffic() override;

  /// Must be called before the thread runs.
  void SetListener(traffic_listener aListener);

  [[nodiscard]] std::error_code Listen();

  /// Runs until the traffic thread is stopped.
  void Run() { mContext.run(); }

  /// The io_context, to which other threads may post work.
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

  // The following functions may be called on any thread.

  void SetConfiguration(
    std::shared_ptr<const proxy::configuration> aConfiguration);
  void SetFreshness(const customer::freshness& aFreshness);
  void ApplyTokenResults(std::vector<token_result> aResults);
  /// Closes the idle sessions of customers.
  void CloseIdleCustomerSessions();
  void SetServers(std::vector<proxy::server> aServers);
  void SetFleet(std::vector<proxy::fleet_vm> aFleet);
  void Confirm(const std::string& aService,
               const proxy::confirmation& aConfirmation);
  void AddSample(const std::string& aService,
                 const proxy::position_sample& aSample);
  /// Calls back on the traffic thread once nothing relies on the term any
  /// longer.
  void Revoke(const std::string& aService,
              position::term_id aTerm,
              std::function<void()> aDone);
  /// Sends a command of the system itself to the server. The callback runs on
  /// the traffic thread.
  void SendControl(const upstream::server_id& aServer,
                   const proxy::command& aCommand,
                   bool aDirect,
                   std::chrono::milliseconds aTimeout,
                   control_callback aDone);
  /// Queries the servers that answered since then. The callback runs on the
  /// traffic thread.
  void QueryServerContacts(clock::time_point aSince, contacts_callback aDone);

  /// Queries the services that callers have used since then. The callback runs
  /// on the traffic thread.
  void QueryUsedServices(clock::time_point aSince,
                         std::function<void(std::vector<std::string>)> aDone);

  /// Lets sessions end, and stops the thread after the given time at the
  /// latest.
  void Drain(std::chrono::milliseconds aMaxTime);

private:
  void NeedsConfirmation(const std::string& aService) override;
  void LeadershipDenied(const std::string& aService,
                        position::term_id aTerm) override;
  void NeedsTokens(const std::string& aCustomer, unsigned aCount) override;
  void Decided(const proxy::decision& aDecision) override;
  void ReachabilityChanged(const proxy::server& aServer,
                           bool aIsReachable,
                           std::string_view aReason) override;
  void ConnectionChanged(std::string_view aEvent,
                         std::string_view aReason) override;
  void ServerEjected(const proxy::server& aServer,
                     const balance::ejection& aWhy) override;
  void ServerReturned(const proxy::server& aServer) override;
  void AfterEvent();
  void CloseIdle();
  void EndTransactions();
  void StopIfDone();

  const node_settings& mSettings;
  metrics& mMetrics;
  traffic_listener mListener;
  boost::asio::io_context mContext{ 1 };
  server_connector mConnector;
  proxy::engine mEngine;
  bool mIsConfigured = false;
  caller_server mCallers;
  caller_server mRelays;
  net::tick_timer mTicker;
  boost::asio::steady_timer mDrainTimer;
  std::chrono::milliseconds mDrainTime{ 0 };
  clock::time_point mDrainStart;
};

} // namespace currantshed::node

#endif
