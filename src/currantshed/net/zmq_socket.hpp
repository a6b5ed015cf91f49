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

/// Bounds and times of one socket.
struct socket_settings
{
  /// How long a closed socket still sends what is queued.
  std::chrono::milliseconds linger{ 0 };
  /// Whether a message is refused while no connection to the peer stands. If
  /// not, it waits for one, and may arrive late.
  bool requireConnection = true;
  /// Messages of one peer queued here; more wait on the way.
  int maxQueuedReceives = 20000;
  /// Messages queued for one peer; more are refused.
  int maxQueuedSends = 20000;
  /// Longest message taken from a peer, in bytes; a peer that sends more is
  /// disconnected.
  std::int64_t maxMessageBytes = std::int64_t{ 16 } * 1024 * 1024;
  /// Time between the transport's own pings; zero for none.
  std::chrono::milliseconds pingInterval{ 250 };
  /// How long sent bytes may stay without the peer's acknowledgement before
  /// the kernel gives the connection up, and after how much silence it begins
  /// to ask whether the peer is there; zero leaves both to the system.
  std::chrono::milliseconds unacknowledgedTimeout{ 0 };
  /// A peer that has been silent for this long is disconnected.
  std::chrono::milliseconds pingTimeout{ 1000 };
  /// Pause between attempts to connect, at first and at most.
  std::chrono::milliseconds initialReconnectDelay{ 25 };
  std::chrono::milliseconds maxReconnectDelay{ 500 };
};

/// One ZeroMQ socket hung on an io_context. Belongs to the thread that runs
/// the io_context. Sending never blocks.
///
/// ZeroMQ's descriptor tells only of changes, and a send may use such a
/// change up; so the socket is drained after every wake and after every
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

  /// Closes the socket; no callback comes after it. What is queued is dropped
  /// unless the settings let it linger.
  void Close();

protected:
  /// Begins to hand messages over.
  void StartReading();

  /// The bytes of a part, for as long as it lives.
  [[nodiscard]] static std::string_view View(const zmq::message_t& aPart);

  /// Sends one message of one or two parts, or none of it.
  [[nodiscard]] std::error_code SendParts(std::string_view aPeer,
                                          std::string_view aBytes);

  [[nodiscard]] std::error_code BindTo(const std::string& aAddress,
                                       std::uint16_t aPort);
  [[nodiscard]] std::error_code ConnectTo(const std::string& aAddress,
                                          std::uint16_t aPort);

  /// Reads one whole message and hands it over; false when there is none.
  [[nodiscard]] virtual bool ReceiveOne() = 0;

  /// Reads the next part; false when there is none.
  [[nodiscard]] bool Receive(zmq::message_t& aPart);

  /// Reads the rest of a message and keeps its last part; the system's own
  /// messages have one part, so that all others fail to decode.
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
  /// Ends with the socket, so that late completions find nothing.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::net

#endif
