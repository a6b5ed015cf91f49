#ifndef CURRANTSHED_LOAD_HTTP_CONNECTION_HPP
#define CURRANTSHED_LOAD_HTTP_CONNECTION_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "currantshed/load/message.hpp"

namespace currantshed::load {

/// Address at which a gateway accepts callers.
struct gateway_address
{
  std::string address;
  std::uint16_t port = 0;
};

/// A request of a caller; headers with empty values are omitted.
struct http_request
{
  /// GET if true, else POST.
  bool get = false;
  std::string target;
  std::string body;
  std::string session;
  std::string key;
  std::chrono::milliseconds deadline{ 0 };
};

/// The answer, as far as it was received.
struct http_answer
{
  exchange_result end = exchange_result::kNotSent;
  std::string body;
  exchange_trace trace;
};

/// A caller's connection to one gateway, opened on first use and kept open.
/// Supports one exchange at a time; not thread-safe.
class http_connection
{
public:
  http_connection(boost::asio::io_context& aContext, gateway_address aGateway);
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection();

  /// Sends the request and waits for the complete answer, up to the timeout.
  [[nodiscard]] boost::asio::awaitable<http_answer> Exchange(
    http_request aRequest,
    std::chrono::milliseconds aTimeout);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace currantshed::load

#endif
