#include "currantshed/store/transport.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "currantshed/store/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using currantshed::store::errc;
using currantshed::store::http_method;
using currantshed::store::http_request;
using currantshed::store::http_response;
using currantshed::store::kMaxResponseBytes;
using currantshed::store::MakeCurlTransport;
using currantshed::store::transport;

namespace {

constexpr std::uint16_t kPort = 22999;
constexpr std::uint32_t kLoopbackNet = 127U << 24U;
constexpr char kHeadEnd[] = "\r\n\r\n";
/// Only bounds the duration of a failing test.
constexpr auto kLongTimeout = 10s;

/// A loopback address unique to this process, so that tests can run in
/// parallel.
boost::asio::ip::address_v4
OwnAddress()
{
  return boost::asio::ip::address_v4(kLoopbackNet |
                                     static_cast<std::uint32_t>(getpid()));
}

/// How the server reacts to a request after having read its header.
struct reaction
{
  /// Sent unchanged.
  std::string bytes;
  /// Whether the connection is then closed or kept for the next request.
  bool closes = false;
};

/// Answers requests with the scripted reactions in order, and closes a
/// connection when none are left.
class scripted_server
{
public:
  scripted_server(boost::asio::io_context& aLoop, std::vector<reaction> aScript)
    : mScript(std::move(aScript))
    , mAcceptor(aLoop, tcp::endpoint(OwnAddress(), kPort))
  {
    Accept();
  }

  /// The request lines of all requests, in order.
  [[nodiscard]] const std::vector<std::string>& Requests() const
  {
    return mRequests;
  }

  [[nodiscard]] std::size_t Connections() const { return mConnections; }

private:
  struct connection
  {
    explicit connection(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }

    tcp::socket socket;
    std::string input;
  };

  using connection_ptr = std::shared_ptr<connection>;

  void Accept()
  {
    mAcceptor.async_accept([this](const auto& aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      ++mConnections;
      Read(std::make_shared<connection>(std::move(aSocket)));
      Accept();
    });
  }

  void Read(const connection_ptr& aConnection)
  {
    boost::asio::async_read_until(
      aConnection->socket,
      boost::asio::dynamic_buffer(aConnection->input),
      kHeadEnd,
      [this, aConnection](const auto& aError, std::size_t) {
        if (!aError) {
          React(aConnection);
        }
      });
  }

  void React(const connection_ptr& aConnection)
  {
    const auto& input = aConnection->input;
    mRequests.push_back(input.substr(0, input.find("\r\n")));
    aConnection->input.clear();
    if (mNext >= mScript.size()) {
      return;
    }
    const auto& next = mScript[mNext++];
    boost::asio::async_write(aConnection->socket,
                             boost::asio::buffer(next.bytes),
                             [this, aConnection, closes = next.closes](
                               const auto& aError, std::size_t) {
                               if (!aError && !closes) {
                                 Read(aConnection);
                               }
                             });
  }

  std::vector<reaction> mScript;
  std::size_t mNext = 0;
  tcp::acceptor mAcceptor;
  std::vector<std::string> mRequests;
  std::size_t mConnections = 0;
};

std::string
Base()
{
  return "http://" + OwnAddress().to_string() + ":" + std::to_string(kPort);
}

std::string
WithLength(const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + kHeadEnd + aBody;
}

struct response_row
{
  const char* name;
  reaction given;
  std::chrono::milliseconds timeout;
  std::error_code error;
  int status;
  std::uint64_t index;
  const char* body;
};

const response_row kResponseRows[] = {
  { "whole",
    { WithLength("X-Consul-Index: 42\r\n", "text"), false },
    kLongTimeout,
    {},
    200,
    42,
    "text" },
  { "header name in lower case",
    { WithLength("x-consul-index:7\r\n", ""), false },
    kLongTimeout,
    {},
    200,
    7,
    "" },
  { "an index that is not a number",
    { WithLength("X-Consul-Index: x\r\n", ""), false },
    kLongTimeout,
    {},
    200,
    0,
    "" },
  { "not found",
    { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false },
    kLongTimeout,
    {},
    404,
    0,
    "" },
  { "torn",
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntext", true },
    kLongTimeout,
    errc::kUnreachable,
    0,
    0,
    "" },
  { "closed without a response",
    { "", true },
    kLongTimeout,
    errc::kUnreachable,
    0,
    0,
    "" },
  { "not HTTP",
    { "220 mail.example ESMTP\r\n", true },
    kLongTimeout,
    errc::kMalformed,
    0,
    0,
    "" },
  { "a Content-Length above the limit",
    { WithLength("", std::string(kMaxResponseBytes + 1, 'x')), true },
    kLongTimeout,
    errc::kTooLarge,
    0,
    0,
    "" },
  { "a body above the limit without a Content-Length",
    { "HTTP/1.1 200 OK\r\n\r\n" + std::string(kMaxResponseBytes + 1, 'x'),
      true },
    kLongTimeout,
    errc::kTooLarge,
    0,
    0,
    "" },
  { "no response", { "", false }, 20ms, errc::kTimeout, 0, 0, "" },
};

http_request
Request(http_method aMethod, std::chrono::milliseconds aTimeout)
{
  http_request request;
  request.method = aMethod;
  request.target = "/v1/kv/k";
  request.timeout = aTimeout;
  return request;
}

/// Sends a request and runs the loop until its response has arrived.
http_response
Ask(boost::asio::io_context& aLoop,
    transport& aTransport,
    const http_request& aRequest)
{
  std::optional<http_response> response;
  aTransport.Send(aRequest, [&response](http_response aResponse) {
    response = std::move(aResponse);
  });
  while (!response) {
    aLoop.run_one();
  }
  return *response;
}

} // namespace

TEST_GROUP(curl_transport){};

TEST(curl_transport, answers)
{
  for (const auto& row : kResponseRows) {
    boost::asio::io_context loop;
    scripted_server server(loop, { row.given });
    const auto subject = MakeCurlTransport(loop, Base());
    const auto response =
      Ask(loop, *subject, Request(http_method::kGet, row.timeout));
    CHECK_TEXT(response.error == row.error, row.name);
    LONGS_EQUAL_TEXT(row.status, response.status, row.name);
    CHECK_TEXT(response.index == row.index, row.name);
    STRCMP_EQUAL_TEXT(row.body, response.body.c_str(), row.name);
  }
}

/// libcurl repeats a request if a reused connection closes without a response;
/// a compare-and-swap must not be repeated.
TEST(curl_transport, a_write_is_sent_once_though_a_used_connection_is_there)
{
  boost::asio::io_context loop;
  scripted_server server(
    loop, { { WithLength("", "text"), false }, { "", true }, { "", true } });
  const auto subject = MakeCurlTransport(loop, Base());
  Ask(loop, *subject, Request(http_method::kGet, kLongTimeout));
  const auto response =
    Ask(loop, *subject, Request(http_method::kPut, kLongTimeout));
  CHECK(response.error == errc::kUnreachable);
  LONGS_EQUAL(2, server.Requests().size());
  STRCMP_EQUAL("PUT /v1/kv/k HTTP/1.1", server.Requests().back().c_str());
  LONGS_EQUAL(2, server.Connections());
}

TEST(curl_transport, reads_share_a_connection)
{
  boost::asio::io_context loop;
  scripted_server server(
    loop, { { WithLength("", "a"), false }, { WithLength("", "b"), false } });
  const auto subject = MakeCurlTransport(loop, Base());
  const auto request = Request(http_method::kGet, kLongTimeout);
  STRCMP_EQUAL("a", Ask(loop, *subject, request).body.c_str());
  STRCMP_EQUAL("b", Ask(loop, *subject, request).body.c_str());
  LONGS_EQUAL(1, server.Connections());
}

TEST(curl_transport, nobody_listens)
{
  boost::asio::io_context loop;
  const auto subject = MakeCurlTransport(loop, Base());
  const auto response =
    Ask(loop, *subject, Request(http_method::kPut, kLongTimeout));
  CHECK(response.error == errc::kUnreachable);
}

TEST(curl_transport, may_be_destroyed_by_a_callback_with_calls_under_way)
{
  boost::asio::io_context loop;
  scripted_server server(loop, { { WithLength("", "a"), false } });
  auto subject = MakeCurlTransport(loop, Base());
  int callbacks = 0;
  const auto end = [&](const http_response&) {
    ++callbacks;
    subject.reset();
  };
  const auto request = Request(http_method::kGet, kLongTimeout);
  subject->Send(request, end);
  subject->Send(request, end);
  while (subject) {
    loop.run_one();
  }
  loop.poll();
  LONGS_EQUAL(1, callbacks);
}
