#ifndef CURRANTSHED_NET_DEALER_HPP
#define CURRANTSHED_NET_DEALER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/net/zmq_socket.hpp"

namespace currantshed::net {

/// A DEALER socket connected to one router. Reconnects on its own.
class dealer final : public zmq_socket
{
public:
  using receiver = std::function<void(std::string_view aBytes)>;

  dealer(boost::asio::io_context& aContext,
         zmq::context_t& aZmq,
         const socket_settings& aSettings);
  ~dealer() override;

  [[nodiscard]] std::error_code Connect(const std::string& aAddress,
                                        std::uint16_t aPort,
                                        receiver aReceiver);

  [[nodiscard]] std::error_code Send(std::string_view aBytes);

  /// Sets a callback that receives true when the connection is established and
  /// false when it is lost. Must be called before Connect.
  void OnConnectionChange(std::function<void(bool)> aChanged);

private:
  class connection_monitor;

  [[nodiscard]] bool ReceiveOne() override;

  zmq::context_t& mZmq;
  receiver mReceiver;
  std::unique_ptr<connection_monitor> mMonitor;
};

} // namespace currantshed::net

#endif
