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

  asio::awaitable<bool> Connect()
  {
    const tcp::endpoint endpoint(asio::ip::make_address(gateway.address),
                                 gateway.port);
    const auto [fault] = co_await stream.async_connect(endpoint, kUseTuple);
    if (!fault) {
      beast::error_code ignored;
      stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    open = !fault;
    co_return open;
  }

  void Close()
  {
    stream.close();
    buffer.clear();
    open = false;
  }

  beast::tcp_stream stream;
  gateway_address gateway;
  beast::flat_buffer buffer;
  bool open = false;
};

http_connection::http_connection(asio::io_context& aContext,
                                 gateway_address aGateway)
  : mState(std::make_unique<state>(aContext, std::move(aGateway)))
{
}

http_connection::~http_connection() = default;

asio::awaitable<http_answer>
http_connection::Exchange(http_request aRequest,
                          std::chrono::milliseconds aAtMost)
{
  mState->stream.expires_after(aAtMost);
  if (!mState->open && !co_await mState->Connect()) {
    mState->Close();
    co_return http_answer{};
  }
  const auto request = MakeRequest(aRequest, mState->gateway.address);
  const auto [writeFault, written] =
    co_await http::async_write(mState->stream, request, kUseTuple);
  if (writeFault) {
    mState->Close();
    co_return http_answer{ exchange_end::kCutOff, {} };
  }
  http::response<http::string_body> response;
  const auto [readFault, read] = co_await http::async_read(
    mState->stream, mState->buffer, response, kUseTuple);
  if (readFault) {
    mState->Close();
    co_return http_answer{ exchange_end::kCutOff, {} };
  }
  if (!response.keep_alive()) {
    mState->Close();
  }
  co_return http_answer{ exchange_end::kAnswered, std::move(response.body()) };
}

} // namespace currantshed::load
