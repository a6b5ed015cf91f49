#ifndef CURRANTSHED_NODE_CALLER_SERVER_HPP
#define CURRANTSHED_NODE_CALLER_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "currantshed/node/line_codec.hpp"
#include "currantshed/node/line_stream.hpp"
#include "currantshed/proxy/engine.hpp"

namespace currantshed::node {

/// Accepts connections and passes their sessions to the engine.
class caller_server
{
public:
  /// Which peers connect: callers, or other VMs that reach servers through this
  /// one.
  enum class endpoint_kind
  {
    kCallers,
    kRelays,
  };

  /// aIsConfigured returns whether a configuration is known yet. aOnEngineEvent
  /// is called after each event that was passed to the engine.
  caller_server(boost::asio::io_context& aContext,
                endpoint_kind aKind,
                const line_codec& aCodec,
                proxy::engine& aEngine,
                std::size_t aMaxConnections,
                std::function<bool()> aIsConfigured,
                std::function<void()> aOnEngineEvent);

  [[nodiscard]] std::error_code Listen(const std::string& aAddress,
                                       std::uint16_t aPort);

  /// To be called once the configuration is known. Starts to accept the
  /// connections that are waiting.
  void OnConfigured();

  /// To be called when the customers' configuration or its freshness has
  /// changed. Checks again the sessions whose key was unknown.
  void RetryPendingKeys();

  /// Stops accepting connections.
  void StopListening();

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }

private:
  class connection;

  [[nodiscard]] bool HoldSession(const std::shared_ptr<connection>& aCaller);
  void StartAccepting();
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void OnConnectionClosed(std::uint64_t aNumber);

  boost::asio::io_context& mContext;
  endpoint_kind mKind;
  const line_codec& mCodec;
  proxy::engine& mEngine;
  std::size_t mMaxConnections;
  std::function<bool()> mIsConfigured;
  std::function<void()> mOnEngineEvent;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetry;
  // Limits the wait for the first configuration.
  boost::asio::steady_timer mStartTimer;
  // Sessions whose key may be in a newer configuration, and the time-out of the
  // oldest one.
  std::vector<std::shared_ptr<connection>> mPendingKeys;
  boost::asio::steady_timer mKeyTimer;
  bool mIsAccepting = false;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<connection>> mConnections;
  std::uint64_t mLastNumber = 0;
};

} // namespace currantshed::node

#endif
