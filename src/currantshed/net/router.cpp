#include "currantshed/net/router.hpp"

#include <utility>

namespace currantshed::net {

router::router(boost::asio::io_context& aContext,
               zmq::context_t& aZmq,
               const socket_settings& aSettings)
  : zmq_socket(aContext, aZmq, zmq::socket_type::router, aSettings)
{
  Socket().set(zmq::sockopt::router_mandatory, true);
}

std::error_code
router::Bind(const std::string& aAddress,
             std::uint16_t aPort,
             receiver aReceiver)
{
  mReceiver = std::move(aReceiver);
  if (const auto error = BindTo(aAddress, aPort)) {
    return error;
  }
  StartReading();
  return {};
}

std::uint16_t
router::Port()
{
  const std::string endpoint = Socket().get(zmq::sockopt::last_endpoint);
  const std::size_t colon = endpoint.rfind(':');
  return static_cast<std::uint16_t>(std::stoul(endpoint.substr(colon + 1)));
}

std::error_code
router::Send(std::string_view aPeer, std::string_view aBytes)
{
  return SendParts(aPeer, aBytes);
}

bool
router::ReceiveOne()
{
  zmq::message_t peer;
  if (!Receive(peer)) {
    return false;
  }
  zmq::message_t part;
  if (peer.more() && ReceiveLast(part)) {
    mReceiver(View(peer), View(part));
  }
  return true;
}

} // namespace currantshed::net
