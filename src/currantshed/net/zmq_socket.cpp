#include "currantshed/net/zmq_socket.hpp"

#include <atomic>
#include <cstdint>
#include <cstring>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/net/errors.hpp"

namespace currantshed::net {

namespace {

/// A name for a socket within the process, never used again: ZeroMQ frees the
/// name of a closed socket only some time later.
std::string
NextLinkName()
{
  static std::atomic<std::uint64_t> sLast{ 0 };
  return "inproc://link-" + std::to_string(++sLast);
}

/// Messages handed over before others on the same thread get their turn.
constexpr int kMostAtOnce = 128;

int
Count(std::chrono::milliseconds aSpan)
{
  return static_cast<int>(aSpan.count());
}

void
Apply(const socket_settings& aSettings, zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, Count(aSettings.linger));
  aSocket.set(zmq::sockopt::sndhwm, aSettings.highWater);
  aSocket.set(zmq::sockopt::rcvhwm, aSettings.highWater);
  aSocket.set(zmq::sockopt::maxmsgsize, aSettings.longestMessage);
  aSocket.set(zmq::sockopt::heartbeat_ivl, Count(aSettings.pingInterval));
  aSocket.set(zmq::sockopt::heartbeat_timeout, Count(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::heartbeat_ttl, Count(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::handshake_ivl, Count(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::connect_timeout, Count(aSettings.pingTimeout));
  aSocket.set(zmq::sockopt::reconnect_ivl, Count(aSettings.reconnectFirst));
  aSocket.set(zmq::sockopt::reconnect_ivl_max, Count(aSettings.reconnectMost));
}

std::string
Endpoint(const std::string& aAddress, std::uint16_t aPort)
{
  return "tcp://" + aAddress + ":" + std::to_string(aPort);
}

std::string_view
View(const zmq::message_t& aPart)
{
  return { static_cast<const char*>(aPart.data()), aPart.size() };
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
  Apply(aSettings, mSocket);
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
  for (int taken = 0; taken < kMostAtOnce; ++taken) {
    const bool wasThere = TakeOne();
    if (!wasThere || !*alive) {
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
  bool wasThere = Receive(aPart);
  while (wasThere && aPart.more()) {
    zmq::message_t next;
    wasThere = Receive(next);
    aPart = std::move(next);
  }
  return wasThere;
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
      return net_errc::kFull;
    }
    const auto sent = mSocket.send(zmq::buffer(aBytes.data(), aBytes.size()),
                                   zmq::send_flags::dontwait);
    return sent ? std::error_code() : net_errc::kFull;
  } catch (const zmq::error_t& error) {
    return FromZmq(error.num());
  }
}

std::error_code
zmq_socket::BindTo(const std::string& aAddress, std::uint16_t aPort)
{
  try {
    mSocket.bind(Endpoint(aAddress, aPort));
    return {};
  } catch (const zmq::error_t& error) {
    return FromZmq(error.num());
  }
}

std::error_code
zmq_socket::ConnectTo(const std::string& aAddress, std::uint16_t aPort)
{
  try {
    mSocket.connect(Endpoint(aAddress, aPort));
    return {};
  } catch (const zmq::error_t& error) {
    return FromZmq(error.num());
  }
}

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
router::TakeOne()
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

dealer::dealer(boost::asio::io_context& aContext,
               zmq::context_t& aZmq,
               const socket_settings& aSettings)
  : zmq_socket(aContext, aZmq, zmq::socket_type::dealer, aSettings)
  , mZmq(aZmq)
{
  Socket().set(zmq::sockopt::immediate, true);
}

/// Reads the events of one dealer's connection, which ZeroMQ gives on a
/// socket of their own.
class dealer::link_monitor final : public zmq_socket
{
public:
  link_monitor(boost::asio::io_context& aContext,
               zmq::socket_t& aWatched,
               zmq::context_t& aZmq,
               std::function<void(bool)> aChanged)
    : zmq_socket(aContext, aZmq, zmq::socket_type::pair, {})
    , mChanged(std::move(aChanged))
  {
    const std::string name = NextLinkName();
    constexpr int kEvents =
      ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED;
    zmq_socket_monitor(aWatched.handle(), name.c_str(), kEvents);
    Socket().connect(name);
    StartReading();
  }

private:
  [[nodiscard]] bool TakeOne() override
  {
    zmq::message_t event;
    if (!Receive(event)) {
      return false;
    }
    zmq::message_t address;
    (void)Receive(address);
    std::uint16_t number = 0;
    if (event.size() >= sizeof(number)) {
      std::memcpy(&number, event.data(), sizeof(number));
      mChanged(number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
    }
    return true;
  }

  std::function<void(bool)> mChanged;
};

dealer::~dealer()
{
  mMonitor.reset();
  Close();
}

void
dealer::OnLink(std::function<void(bool)> aChanged)
{
  mMonitor = std::make_unique<link_monitor>(
    Context(), Socket(), mZmq, std::move(aChanged));
}

std::error_code
dealer::Connect(const std::string& aAddress,
                std::uint16_t aPort,
                receiver aReceiver)
{
  mReceiver = std::move(aReceiver);
  if (const auto error = ConnectTo(aAddress, aPort)) {
    return error;
  }
  StartReading();
  return {};
}

std::error_code
dealer::Send(std::string_view aBytes)
{
  return SendParts({}, aBytes);
}

bool
dealer::TakeOne()
{
  zmq::message_t part;
  if (!ReceiveLast(part)) {
    return false;
  }
  mReceiver(View(part));
  return true;
}

} // namespace currantshed::net
