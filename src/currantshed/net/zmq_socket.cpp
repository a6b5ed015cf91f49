#include "currantshed/net/zmq_socket.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/net/errors.hpp"

namespace currantshed::net {

namespace {

/// Maximum number of messages handled before other handlers of the same
/// io_context run.
constexpr int kMaxMessagesPerDrain = 128;

/// TCP keepalive of an idle connection: seconds before the first probe, seconds
/// between probes, and unanswered probes after which the connection is closed.
/// A connection used at least every two seconds sends no probes.
constexpr int kKeepAliveIdle = 3;
constexpr int kKeepAliveInterval = 1;
constexpr int kKeepAliveCount = 2;

int
ToInt(std::chrono::milliseconds aSpan)
{
  return static_cast<int>(aSpan.count());
}

void
ApplyPeerTimeout(std::chrono::milliseconds aLimit, zmq::socket_t& aSocket)
{
  if (aLimit == std::chrono::milliseconds::zero()) {
    return;
  }
  aSocket.set(zmq::sockopt::tcp_maxrt, ToInt(aLimit));
  aSocket.set(zmq::sockopt::tcp_keepalive, 1);
  aSocket.set(zmq::sockopt::tcp_keepalive_idle, kKeepAliveIdle);
  aSocket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepAliveInterval);
  aSocket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepAliveCount);
}

void
ApplySettings(const socket_settings& aSettings, zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, ToInt(aSettings.linger));
  aSocket.set(zmq::sockopt::immediate, aSettings.requireConnection);
  aSocket.set(zmq::sockopt::sndhwm, aSettings.maxQueuedSends);
  aSocket.set(zmq::sockopt::rcvhwm, aSettings.maxQueuedReceives);
  aSocket.set(zmq::sockopt::maxmsgsize, aSettings.maxMessageBytes);
  if (aSettings.pingInterval > std::chrono::milliseconds::zero()) {
    aSocket.set(zmq::sockopt::heartbeat_ivl, ToInt(aSettings.pingInterval));
    aSocket.set(zmq::sockopt::heartbeat_timeout, ToInt(aSettings.pingTimeout));
    aSocket.set(zmq::sockopt::heartbeat_ttl, ToInt(aSettings.pingTimeout));
  }
  ApplyPeerTimeout(aSettings.unacknowledgedTimeout, aSocket);
  aSocket.set(zmq::sockopt::handshake_ivl, ToInt(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::connect_timeout, ToInt(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::reconnect_ivl,
              ToInt(aSettings.initialReconnectDelay));
  aSocket.set(zmq::sockopt::reconnect_ivl_max,
              ToInt(aSettings.maxReconnectDelay));
}

std::string
Endpoint(const std::string& aAddress, std::uint16_t aPort)
{
  return "tcp://" + aAddress + ":" + std::to_string(aPort);
}

} // namespace

zmq_socket::zmq_socket(boost::asio::io_context& aContext,
                       zmq::context_t& aZmq,
                       zmq::socket_type aType,
                       const socket_settings& aSettings)
  : mContext(aContext)
  , mSocket(aZmq, aType)
  , mDescriptor(aContext)
{
  ApplySettings(aSettings, mSocket);
}

zmq_socket::~zmq_socket()
{
  Close();
}

void
zmq_socket::Close()
{
  *mAlive = false;
  if (mDescriptor.is_open()) {
    mDescriptor.release();
  }
  mSocket.close();
}

void
zmq_socket::StartReading()
{
  mDescriptor.assign(mSocket.get(zmq::sockopt::fd));
  Wait();
  ScheduleDrain();
}

void
zmq_socket::Wait()
{
  mDescriptor.async_wait(
    boost::asio::posix::stream_descriptor::wait_read,
    [this, alive = mAlive](const boost::system::error_code& aError) {
      if (aError || !*alive) {
        return;
      }
      Drain();
      if (*alive) {
        Wait();
      }
    });
}

void
zmq_socket::Drain()
{
  const auto alive = mAlive;
  for (int handled = 0; handled < kMaxMessagesPerDrain; ++handled) {
    const bool received = ReceiveOne();
    if (!received || !*alive) {
      return;
    }
  }
  ScheduleDrain();
}

void
zmq_socket::ScheduleDrain()
{
  if (mDrainScheduled || !mDescriptor.is_open()) {
    return;
  }
  mDrainScheduled = true;
  boost::asio::post(mContext, [this, alive = mAlive] {
    if (!*alive) {
      return;
    }
    mDrainScheduled = false;
    Drain();
  });
}

std::string_view
zmq_socket::View(const zmq::message_t& aPart)
{
  return { static_cast<const char*>(aPart.data()), aPart.size() };
}

bool
zmq_socket::Receive(zmq::message_t& aPart)
{
  try {
    return mSocket.recv(aPart, zmq::recv_flags::dontwait).has_value();
  } catch (const zmq::error_t&) {
    return false;
  }
}

bool
zmq_socket::ReceiveLast(zmq::message_t& aPart)
{
  bool received = Receive(aPart);
  while (received && aPart.more()) {
    zmq::message_t next;
    received = Receive(next);
    aPart = std::move(next);
  }
  return received;
}

std::error_code
zmq_socket::SendParts(std::string_view aPeer, std::string_view aBytes)
{
  if (!*mAlive) {
    return net_errc::kClosed;
  }
  ScheduleDrain();
  try {
    const auto more = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    if (!aPeer.empty() &&
        !mSocket.send(zmq::buffer(aPeer.data(), aPeer.size()), more)) {
      return net_errc::kQueueFull;
    }
    const auto sent = mSocket.send(zmq::buffer(aBytes.data(), aBytes.size()),
                                   zmq::send_flags::dontwait);
    return sent ? std::error_code() : net_errc::kQueueFull;
  } catch (const zmq::error_t& error) {
    return FromZmqError(error.num());
  }
}

std::error_code
zmq_socket::BindTo(const std::string& aAddress, std::uint16_t aPort)
{
  try {
    mSocket.bind(Endpoint(aAddress, aPort));
    return {};
  } catch (const zmq::error_t& error) {
    return FromZmqError(error.num());
  }
}

std::error_code
zmq_socket::ConnectTo(const std::string& aAddress, std::uint16_t aPort)
{
  try {
    mSocket.connect(Endpoint(aAddress, aPort));
    return {};
  } catch (const zmq::error_t& error) {
    return FromZmqError(error.num());
  }
}

} // namespace currantshed::net
