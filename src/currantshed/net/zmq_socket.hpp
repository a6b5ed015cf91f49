#ifndef CURRANTSHED_NET_ZMQ_SOCKET_HPP
#define CURRANTSHED_NET_ZMQ_SOCKET_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include "currantshed/net/fwd.hpp"

namespace currantshed::net {

/// Limits and timeouts of one socket.
struct socket_settings
{
  /// How long a closed socket keeps sending its queued messages.
  std::chrono::milliseconds linger{ 0 };
  /// Whether sending fails while there is no connection to the peer. If false,
  /// messages are queued until a connection exists and may arrive late.
  bool requireConnection = true;
  /// Maximum number of received messages queued per peer; further messages wait
  /// in the transport.
  int maxQueuedReceives = 20000;
  /// Maximum number of messages queued for sending per peer; further messages
  /// are rejected.
  int maxQueuedSends = 20000;
  /// Maximum size of a received message in bytes; a peer that sends a larger
  /// one is disconnected.
  std::int64_t maxMessageBytes = std::int64_t{ 16 } * 1024 * 1024;
  /// Interval of ZeroMQ heartbeats; zero disables them.
  std::chrono::milliseconds pingInterval{ 250 };
  /// Time that sent data may stay unacknowledged before the kernel closes the
  /// connection; also enables TCP keepalive. Zero keeps the system defaults.
  std::chrono::milliseconds unacknowledgedTimeout{ 0 };
  /// A peer that sends nothing for this long is disconnected.
  std::chrono::milliseconds pingTimeout{ 1000 };
  /// Initial and maximum delay between connection attempts.
  std::chrono::milliseconds initialReconnectDelay{ 25 };
  std::chrono::milliseconds maxReconnectDelay{ 500 };
};

/// One ZeroMQ socket integrated into an io_context. Must be used on the thread
/// that runs the io_context. Sending never blocks.
///
/// ZeroMQ's file descriptor is edge-triggered, and a send may consume an edge.
/// The socket is therefore drained after every readiness event and after every
/// send.
class zmq_socket
{
public:
  zmq_socket(boost::asio::io_context& aContext,
             zmq::context_t& aZmq,
             zmq::socket_type aType,
             const socket_settings& aSettings);

  zmq_socket(const zmq_socket&) = delete;
  zmq_socket& operator=(const zmq_socket&) = delete;
  virtual ~zmq_socket();

  /// Closes the socket; no callback is invoked afterwards. Queued messages are
  /// dropped unless settings.linger allows time to send them.
  void Close();

protected:
  /// Starts passing received messages to the receiver.
  void StartReading();

  /// The bytes of a message part; valid while the part lives.
  [[nodiscard]] static std::string_view View(const zmq::message_t& aPart);

  /// Sends one message of one or two parts, atomically.
  [[nodiscard]] std::error_code SendParts(std::string_view aPeer,
                                          std::string_view aBytes);

  [[nodiscard]] std::error_code BindTo(const std::string& aAddress,
                                       std::uint16_t aPort);
  [[nodiscard]] std::error_code ConnectTo(const std::string& aAddress,
                                          std::uint16_t aPort);

  /// Receives one message and passes it to the receiver; false if none is
  /// available.
  [[nodiscard]] virtual bool ReceiveOne() = 0;

  /// Receives the next message part without blocking; false if none is
  /// available.
  [[nodiscard]] bool Receive(zmq::message_t& aPart);

  /// Receives the remaining parts of a message and keeps the last. Messages of
  /// this system have a single part, so the last part of any other message
  /// fails to decode.
  [[nodiscard]] bool ReceiveLast(zmq::message_t& aPart);

  [[nodiscard]] zmq::socket_t& Socket() noexcept { return mSocket; }
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return mContext; }

private:
  void Wait();
  void Drain();
  void ScheduleDrain();

  boost::asio::io_context& mContext;
  zmq::socket_t mSocket;
  boost::asio::posix::stream_descriptor mDescriptor;
  bool mDrainScheduled = false;
  /// Set to false when the socket closes, so that pending completion handlers
  /// return without touching it.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::net

#endif
