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

/// What a connection needs of its server.
class connection_owner
{
public:
  virtual ~connection_owner() = default;

  [[nodiscard]] virtual const caller_limits& Limits() const noexcept = 0;

  /// Whether connections end after their next answer.
  [[nodiscard]] virtual bool IsClosing() const noexcept = 0;

  /// Numbers a request and passes it on.
  virtual void Submit(caller_connection& aFrom, caller_request aRequest) = 0;

  virtual void Cancel(request_number aRequest) = 0;

  /// Counts a request that was refused on the HTTP side.
  virtual void CountRefused() = 0;

  /// The connection has closed itself and may be dropped.
  virtual void OnClosed(caller_connection& aConnection) = 0;
};

/// One connection of a caller: reads a request, passes it on, waits for its
/// answer, writes it, and so on, one request at a time. What a caller sends
/// ahead stays in the operating system's buffers.
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

  /// The answer to the request that was passed on last.
  void Answer(const caller_answer& aAnswer);

  /// Ends what has taken too long.
  void CheckTimeout(clock::time_point aNow);

  /// Counts this connection as one that is about to be closed.
  void AddTo(closed_connections& aClosed) const;

  /// Closes at once; the owner is not told.
  void Close();

  [[nodiscard]] bool IsIdle() const noexcept;

  /// Whether bytes have come that were not read yet.
  [[nodiscard]] bool HasUnread() const;

  /// The request that waits for its answer, or zero.
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
  void End();

  boost::asio::ip::tcp::socket mSocket;
  connection_owner& mOwner;
  /// Held only while a request is on its way.
  std::unique_ptr<buffers> mBuffers;
  clock::time_point mTimeoutAt;
  request_number mPendingRequest = 0;
  /// Goes up with each request, so that the watch for a hang-up of an
  /// earlier one is known.
  std::uint32_t mRequestCount = 0;
  phase mPhase = phase::kIdle;
  bool mTimedOut = false;
};

} // namespace currantshed::gateway

#endif
