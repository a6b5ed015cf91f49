#include "currantshed/load/http_connection.hpp"

#include <utility>

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace currantshed::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr int kHttp11 = 11;
constexpr auto kUseTuple = asio::experimental::as_tuple(asio::use_awaitable);

http::request<http::string_body>
MakeRequest(const http_request& aRequest, const std::string& aHost)
{
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method(aRequest.get ? http::verb::get : http::verb::post);
  request.target(aRequest.target);
  request.set(http::field::host, aHost);
  if (!aRequest.body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  if (!aRequest.session.empty()) {
    request.set("Currantshed-Session", aRequest.session);
  }
  if (!aRequest.key.empty()) {
    request.set("Idempotency-Key", aRequest.key);
  }
  if (aRequest.deadline.count() > 0) {
    request.set("Currantshed-Deadline-Ms",
                std::to_string(aRequest.deadline.count()));
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  return request;
}

} // namespace

struct http_connection::state
{
  state(asio::io_context& aContext, gateway_address aGateway)
    : stream(aContext)
    , gateway(std::move(aGateway))
  {
  }

  asio::awaitable<beast::error_code> Connect()
  {
    const tcp::endpoint endpoint(asio::ip::make_address(gateway.address),
                                 gateway.port);
    const auto [fault] = co_await stream.async_connect(endpoint, kUseTuple);
    if (!fault) {
      beast::error_code ignored;
      stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    open = !fault;
    co_return fault;
  }

  void Close()
  {
    stream.close();
    buffer.clear();
    open = false;
    exchanges = 0;
  }

  /// Starts the trace of an exchange on the connection.
  [[nodiscard]] exchange_trace Begin()
  {
    exchange_trace trace;
    trace.port = gateway.port;
    trace.earlierExchanges = exchanges++;
    const auto now = std::chrono::steady_clock::now();
    if (trace.earlierExchanges > 0) {
      trace.idle = std::chrono::duration_cast<run_offset>(now - usedAt);
    }
    return trace;
  }

  /// Closes the connection after an exchange without a complete answer.
  [[nodiscard]] http_answer Failed(exchange_result aEnd,
                                   exchange_trace aTrace,
                                   const beast::error_code& aFault)
  {
    Close();
    aTrace.fault = aFault.message();
    return { aEnd, {}, std::move(aTrace) };
  }

  beast::tcp_stream stream;
  gateway_address gateway;
  beast::flat_buffer buffer;
  bool open = false;
  unsigned exchanges = 0;
  std::chrono::steady_clock::time_point usedAt;
};

http_connection::http_connection(asio::io_context& aContext,
                                 gateway_address aGateway)
  : mState(std::make_unique<state>(aContext, std::move(aGateway)))
{
}

http_connection::~http_connection() = default;

asio::awaitable<http_answer>
http_connection::Exchange(http_request aRequest,
                          std::chrono::milliseconds aTimeout)
{
  mState->stream.expires_after(aTimeout);
  exchange_trace trace = mState->Begin();
  if (!mState->open) {
    if (const auto fault = co_await mState->Connect()) {
      co_return mState->Failed(
        exchange_result::kNotSent, std::move(trace), fault);
    }
  }
  const auto request = MakeRequest(aRequest, mState->gateway.address);
  const auto [writeFault, written] =
    co_await http::async_write(mState->stream, request, kUseTuple);
  if (writeFault) {
    co_return mState->Failed(
      exchange_result::kCutOff, std::move(trace), writeFault);
  }
  http::response<http::string_body> response;
  const auto [readFault, read] = co_await http::async_read(
    mState->stream, mState->buffer, response, kUseTuple);
  if (readFault) {
    co_return mState->Failed(
      exchange_result::kCutOff, std::move(trace), readFault);
  }
  mState->usedAt = std::chrono::steady_clock::now();
  if (!response.keep_alive()) {
    mState->Close();
  }
  co_return http_answer{ exchange_result::kAnswered,
                         std::move(response.body()),
                         std::move(trace) };
}

} // namespace currantshed::load
