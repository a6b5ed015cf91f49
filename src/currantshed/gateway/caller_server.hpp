#ifndef CURRANTSHED_GATEWAY_CALLER_SERVER_HPP
#define CURRANTSHED_GATEWAY_CALLER_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>

#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/settings.hpp"

namespace currantshed::gateway {

/// Receives the callers' requests from the HTTP server.
class request_sink
{
public:
  virtual ~request_sink() = default;

  /// Accepts a request, numbered by the server. It must be answered exactly
  /// once through caller_server::Answer, before or after this returns.
  virtual void Submit(caller_request aRequest) = 0;

  /// The caller has disconnected; no response is needed.
  virtual void Cancel(request_number aRequest) = 0;

  /// A request was rejected by the HTTP layer before it was recognized as an
  /// API call.
  virtual void CountRefused() = 0;
};

/// Numbers of connections closed by the server, by their state at that time.
struct closed_connections
{
  /// Had served requests before and were waiting for the next one.
  std::size_t kept = 0;
  /// Had not received a request yet.
  std::size_t fresh = 0;
  /// Had received bytes that were not read yet; their request is aborted.
  std::size_t unread = 0;
  /// Had a request whose response was not sent in full; it is aborted.
  std::size_t busy = 0;
};

/// HTTP server for callers. Runs on the io_context of one thread and may be
/// used only there. Several servers listen on the same port, and the operating
/// system distributes connections among them. A connection holds buffers only
/// while a request is in progress.
class caller_server
{
public:
  caller_server(boost::asio::io_context& aContext,
                const caller_limits& aLimits,
                request_sink& aSink);
  ~caller_server();

  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /// Starts to listen on an IP address and port.
  [[nodiscard]] std::error_code Start(const std::string& aAddress,
                                      std::uint16_t aPort);

  /// The port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// Sends the response to a request; drops it if the caller has disconnected.
  void Answer(const caller_answer& aAnswer);

  /// From now on, closes each connection after its next response.
  void BeginShutdown();

  /// Stops accepting connections. Connections that the operating system has
  /// already accepted are still served. After BeginShutdown, each open
  /// connection can carry at most one more request.
  void StopListening();

  /// Checks the timeouts of all connections; to be called periodically.
  void CheckTimeouts();

  /// Also closes connections that are idle now and have sent nothing.
  closed_connections CloseIdle();

  /// Closes the listening socket and all connections. Must be called before the
  /// io_context's thread ends.
  closed_connections Stop();

  /// Number of open connections, and of those that are not idle.
  [[nodiscard]] std::size_t Connections() const noexcept;
  [[nodiscard]] std::size_t Busy() const noexcept;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace currantshed::gateway

#endif
