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

/// Where a gateway listens for callers.
struct gateway_address
{
  std::string address;
  std::uint16_t port = 0;
};

/// One request of a caller; headers without content are left out.
struct http_request
{
  /// Whether it asks by GET; POST else.
  bool get = false;
  std::string target;
  std::string body;
  std::string session;
  std::string key;
  std::chrono::milliseconds deadline{ 0 };
};

/// What came back, as far as it came.
struct http_answer
{
  exchange_result end = exchange_result::kNotSent;
  std::string body;
  exchange_trace trace;
};

/// A caller's connection to one gateway, opened when first needed and kept
/// open. One exchange at a time; for one thread.
class http_connection
{
public:
  http_connection(boost::asio::io_context& aContext, gateway_address aGateway);
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection();

  /// Sends the request and waits for the whole answer, at most for the time
  /// given.
  [[nodiscard]] boost::asio::awaitable<http_answer> Exchange(
    http_request aRequest,
    std::chrono::milliseconds aTimeout);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace currantshed::load

#endif
