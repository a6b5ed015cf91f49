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

/// A socket that many peers connect to; each is named by the bytes that
/// ZeroMQ gives it for the time of its connection.
class router final : public zmq_socket
{
public:
  using receiver =
    std::function<void(std::string_view aPeer, std::string_view aBytes)>;

  router(boost::asio::io_context& aContext,
         zmq::context_t& aZmq,
         const socket_settings& aSettings);

  /// Listens at an IP number and port, and hands each message over. Port zero
  /// stands for any free one.
  [[nodiscard]] std::error_code Bind(const std::string& aAddress,
                                     std::uint16_t aPort,
                                     receiver aReceiver);

  /// The port that Bind took.
  [[nodiscard]] std::uint16_t Port();

  [[nodiscard]] std::error_code Send(std::string_view aPeer,
                                     std::string_view aBytes);

private:
  [[nodiscard]] bool ReceiveOne() override;

  receiver mReceiver;
};

} // namespace currantshed::net

#endif
