#include "standin/upstream/control.hpp"

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "standin/upstream/control_calls.hpp"
#include "standin/upstream/server.hpp"

namespace currantshed::standin::postgres {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

constexpr std::chrono::seconds kTimeout{ 10 };

http::status
ToHttp(call_status aStatus)
{
  switch (aStatus) {
    case call_status::kDone:
      return http::status::ok;
    case call_status::kInvalid:
      return http::status::bad_request;
    default:
      return http::status::not_found;
  }
}

response
Answer(server& aServer, const request& aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const bool isPost = aRequest.method() == http::verb::post;
  auto result = AnswerCall(aServer, isPost, target);
  response answer(ToHttp(result.status), aRequest.version());
  answer.set(http::field::content_type, "application/json");
  answer.keep_alive(false);
  answer.body() = std::move(result.text);
  answer.prepare_payload();
  return answer;
}

// One HTTP request and its response.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
  exchange(server& aServer, tcp::socket aSocket)
    : mServer(aServer)
    , mStream(std::move(aSocket))
  {
  }

  void Start()
  {
    mStream.expires_after(kTimeout);
    http::async_read(
      mStream,
      mBuffer,
      mRequest,
      [self = shared_from_this()](error_code aError, std::size_t /*aSize*/) {
        if (!aError) {
          self->Reply();
        }
      });
  }

private:
  void Reply()
  {
    mResponse = Answer(mServer, mRequest);
    http::async_write(mStream,
                      mResponse,
                      [self = shared_from_this()](error_code /*aError*/,
                                                  std::size_t /*aSize*/) {
                        error_code ignored;
                        self->mStream.socket().shutdown(
                          tcp::socket::shutdown_send, ignored);
                      });
  }

  server& mServer;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  request mRequest;
  response mResponse;
};

} // namespace

class control::listener
{
public:
  listener(boost::asio::io_context& aContext,
           server& aServer,
           const tcp::endpoint& aLocal)
    : mServer(aServer)
    , mAcceptor(aContext, aLocal)
  {
  }

  void Accept()
  {
    mAcceptor.async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<exchange>(mServer, std::move(aSocket))->Start();
      }
      Accept();
    });
  }

private:
  server& mServer;
  tcp::acceptor mAcceptor;
};

control::control(boost::asio::io_context& aContext,
                 server& aServer,
                 const std::string& aAddress,
                 std::uint16_t aPort)
  : mListener(std::make_unique<listener>(
      aContext,
      aServer,
      tcp::endpoint(boost::asio::ip::make_address(aAddress), aPort)))
{
}

control::~control() = default;

void
control::Start()
{
  mListener->Accept();
}

} // namespace currantshed::standin::postgres
