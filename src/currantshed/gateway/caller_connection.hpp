#ifndef CURRANTSHED_GATEWAY_CALLER_CONNECTION_HPP
#define CURRANTSHED_GATEWAY_CALLER_CONNECTION_HPP

#include <cstdint>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/settings.hpp"

namespace currantshed::gateway {

class caller_connection;
struct closed_connections;

/// Interface through which a connection uses its server.
class connection_owner
{
public:
  virtual ~connection_owner() = default;

  [[nodiscard]] virtual const caller_limits& Limits() const noexcept = 0;

  /// Whether connections are closed after their next response.
  [[nodiscard]] virtual bool IsClosing() const noexcept = 0;

  /// Assigns a number to a request and forwards it to the sink.
  virtual void Submit(caller_connection& aFrom, caller_request aRequest) = 0;

  virtual void Cancel(request_number aRequest) = 0;

  /// Counts a request that was rejected by the HTTP layer.
  virtual void CountRefused() = 0;

  /// Called when the connection has closed itself and may be destroyed.
  virtual void OnClosed(caller_connection& aConnection) = 0;
};

/// One HTTP connection of a caller. Handles one request at a time: reads it,
/// submits it, waits for the response and writes it. Pipelined requests stay in
/// the operating system's receive buffer until then.
class caller_connection final
  : public std::enable_shared_from_this<caller_connection>
{
public:
  caller_connection(boost::asio::ip::tcp::socket aSocket,
                    connection_owner& aOwner);
  ~caller_connection();

  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void Start();

  /// Sends the response to the request submitted last.
  void Answer(const caller_answer& aAnswer);

  /// Ends the current phase if its timeout has passed.
  void CheckTimeout(clock::time_point aNow);

  /// Adds this connection to the counters of connections that are about to be
  /// closed.
  void AddTo(closed_connections& aClosed) const;

  /// Closes immediately, without notifying the owner.
  void Close();

  [[nodiscard]] bool IsIdle() const noexcept;

  /// Whether received bytes are waiting to be read.
  [[nodiscard]] bool HasUnread() const;

  /// Number of the request that awaits its response; zero if there is none.
  [[nodiscard]] request_number PendingRequest() const noexcept;
  void SetPendingRequest(request_number aNumber) noexcept;

private:
  enum class phase : std::uint8_t
  {
    kIdle,
    kReading,
    kServing,
    kWriting,
    kLingering,
    kClosed,
  };
  struct buffers;

  void EnterPhase(phase aPhase);
  void AwaitRequest();
  void ReadHeader();
  void ReadBody();
  void SendContinue();
  void OnReadError(const boost::system::error_code& aError);
  void Serve();
  void WatchForDisconnect();
  void Respond(const caller_answer& aAnswer, bool aKeepAlive);
  void OnWritten(bool aKeepAlive);
  void Linger();
  void Terminate();

  boost::asio::ip::tcp::socket mSocket;
  connection_owner& mOwner;
  /// Allocated only while a request is in progress.
  std::unique_ptr<buffers> mBuffers;
  clock::time_point mTimeoutAt;
  request_number mPendingRequest = 0;
  /// Incremented for each request, so that a disconnect watch started for an
  /// earlier request can be recognized as stale.
  std::uint32_t mRequestCount = 0;
  phase mPhase = phase::kIdle;
  bool mTimedOut = false;
};

} // namespace currantshed::gateway

#endif
