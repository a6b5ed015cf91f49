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

/// What takes the callers' requests from the HTTP side.
class request_sink
{
public:
  virtual ~request_sink() = default;

  /// Accepts a request, numbered by the server; answered by the server's
  /// Answer, once, before or after this returns.
  virtual void Submit(caller_request aRequest) = 0;

  /// The request's caller has gone: no answer is wanted.
  virtual void Cancel(request_number aRequest) = 0;

  /// A request was refused on the HTTP side, before it was one of the calls.
  virtual void CountRefused() = 0;
};

/// The connections that a server has closed at its end, by what they were at.
struct closed_connections
{
  /// Had brought requests before, and waited for the next one.
  std::size_t kept = 0;
  /// Had brought none yet.
  std::size_t fresh = 0;
  /// Held bytes that were not read: their request is cut off.
  std::size_t unread = 0;
  /// Had a request that was not answered in full: it is cut off.
  std::size_t busy = 0;
};

/// The HTTP server that faces callers, on one thread's io_context and used
/// only there. Several of them listen at the same port, and the operating
/// system shares the connections out. A connection holds buffers only while
/// a request is on its way.
class caller_server
{
public:
  caller_server(boost::asio::io_context& aContext,
                const caller_limits& aLimits,
                request_sink& aSink);
  ~caller_server();

  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /// Begins to listen at an IP number and port.
  [[nodiscard]] std::error_code Start(const std::string& aAddress,
                                      std::uint16_t aPort);

  /// The port that it listens at.
  [[nodiscard]] std::uint16_t Port() const;

  /// Gives the answer to a request; dropped when its caller has gone.
  void Answer(const caller_answer& aAnswer);

  /// Ends each connection after its next answer from now on.
  void BeginShutdown();

  /// Takes no more connections. Those that the operating system has taken
  /// already are served, and all that are kept open bring one more request at
  /// most once the server leaves.
  void StopListening();

  /// Looks after the times of all connections; called at intervals.
  void CheckTimeouts();

  /// Ends the connections that are idle now, too, and have sent nothing.
  closed_connections CloseIdle();

  /// Closes the port and every connection. To be called before the end of
  /// the io_context's thread.
  closed_connections Stop();

  /// Connections that stand, and those among them that are not idle.
  [[nodiscard]] std::size_t Connections() const noexcept;
  [[nodiscard]] std::size_t Busy() const noexcept;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace currantshed::gateway

#endif
