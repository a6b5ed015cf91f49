#include "currantshed/net/dealer.hpp"

#include <atomic>
#include <cstdint>
#include <cstring>
#include <utility>

namespace currantshed::net {

namespace {

/// Returns an inproc endpoint that is unique in the process. Names are not
/// reused because ZeroMQ releases the name of a closed socket asynchronously.
std::string
NextMonitorName()
{
  static std::atomic<std::uint64_t> sLast{ 0 };
  return "inproc://link-" + std::to_string(++sLast);
}

} // namespace

dealer::dealer(boost::asio::io_context& aContext,
               zmq::context_t& aZmq,
               const socket_settings& aSettings)
  : zmq_socket(aContext, aZmq, zmq::socket_type::dealer, aSettings)
  , mZmq(aZmq)
{
}

/// Reads the connection events of one dealer, which ZeroMQ publishes on a
/// separate monitor socket.
class dealer::connection_monitor final : public zmq_socket
{
public:
  connection_monitor(boost::asio::io_context& aContext,
                     zmq::socket_t& aWatched,
                     zmq::context_t& aZmq,
                     std::function<void(bool)> aChanged)
    : zmq_socket(aContext, aZmq, zmq::socket_type::pair, {})
    , mChanged(std::move(aChanged))
  {
    const std::string name = NextMonitorName();
    constexpr int kEvents =
      ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED;
    zmq_socket_monitor(aWatched.handle(), name.c_str(), kEvents);
    Socket().connect(name);
    StartReading();
  }

private:
  [[nodiscard]] bool ReceiveOne() override
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
dealer::OnConnectionChange(std::function<void(bool)> aChanged)
{
  mMonitor = std::make_unique<connection_monitor>(
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
dealer::ReceiveOne()
{
  zmq::message_t part;
  if (!ReceiveLast(part)) {
    return false;
  }
  mReceiver(View(part));
  return true;
}

} // namespace currantshed::net
