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

/// Takes callers' connections, and carries their sessions to the engine.
class caller_server
{
public:
  /// Who connects: callers, or other VMs that reach servers through this one.
  enum class endpoint_kind
  {
    kCallers,
    kRelays,
  };

  /// aIsConfigured tells whether databases are known yet; aAfter is called
  /// after each event that the engine got.
  caller_server(boost::asio::io_context& aContext,
                endpoint_kind aKind,
                const line_codec& aCodec,
                proxy::engine& aEngine,
                std::size_t aMostConnections,
                std::function<bool()> aIsConfigured,
                std::function<void()> aAfter);

  [[nodiscard]] std::error_code Listen(const std::string& aAddress,
                                       std::uint16_t aPort);

  /// The databases are known now: callers that have connected meanwhile are
  /// taken.
  void OnConfigured();

  /// There is word on which customers there are: callers whose key was not
  /// known are looked at again.
  void RetryPendingKeys();

  /// Takes no more connections.
  void StopListening();

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }

private:
  class connection;

  [[nodiscard]] bool Hold(const std::shared_ptr<connection>& aCaller);
  void Begin();
  void Accept();
  void Accepted(boost::asio::ip::tcp::socket aSocket);
  void Ended(std::uint64_t aNumber);

  boost::asio::io_context& mContext;
  endpoint_kind mKind;
  const line_codec& mCodec;
  proxy::engine& mEngine;
  std::size_t mMostConnections;
  std::function<bool()> mIsConfigured;
  std::function<void()> mAfter;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetry;
  // Ends the wait for the first configuration.
  boost::asio::steady_timer mHold;
  // Callers whose key may be in a newer configuration, and the end of the wait
  // of the first one.
  std::vector<std::shared_ptr<connection>> mDoubted;
  boost::asio::steady_timer mDoubtEnd;
  bool mHasBegun = false;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<connection>> mConnections;
  std::uint64_t mLastNumber = 0;
};

} // namespace currantshed::node

#endif
