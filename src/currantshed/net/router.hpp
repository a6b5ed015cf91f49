#ifndef CURRANTSHED_NET_ROUTER_HPP
#define CURRANTSHED_NET_ROUTER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "currantshed/net/zmq_socket.hpp"

namespace currantshed::net {

/// A ROUTER socket that accepts connections of many peers. A peer is identified
/// by the routing id that ZeroMQ assigns for the lifetime of its connection.
class router final : public zmq_socket
{
public:
  using receiver =
    std::function<void(std::string_view aPeer, std::string_view aBytes)>;

  router(boost::asio::io_context& aContext,
         zmq::context_t& aZmq,
         const socket_settings& aSettings);

  /// Listens on an IP address and port and passes each received message to the
  /// receiver. Port zero selects any free port.
  [[nodiscard]] std::error_code Bind(const std::string& aAddress,
                                     std::uint16_t aPort,
                                     receiver aReceiver);

  /// The port that Bind is listening on.
  [[nodiscard]] std::uint16_t Port();

  [[nodiscard]] std::error_code Send(std::string_view aPeer,
                                     std::string_view aBytes);

private:
  [[nodiscard]] bool ReceiveOne() override;

  receiver mReceiver;
};

} // namespace currantshed::net

#endif
