#include "currantshed/gateway/caller_server.hpp"

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed::gateway;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.0.0.1";
/// Time limit that ends a hanging test; a passing test never waits for it.
constexpr std::chrono::seconds kTestTimeout{ 20 };
constexpr std::size_t kBodyLimit = 1000;

/// Accepts requests and answers them immediately or on demand.
class fake_sink final : public request_sink
{
public:
  void Submit(caller_request aRequest) override
  {
    received.push_back(aRequest);
    if (!deferAnswers) {
      Answer(aRequest.number);
    }
  }

  void Cancel(request_number aRequest) override
  {
    cancelled.push_back(aRequest);
  }

  void CountRefused() override { ++refused; }

  void Answer(request_number aNumber)
  {
    caller_answer answer;
    answer.number = aNumber;
    answer.verdict = verdict;
    answer.why = currantshed::outcome::reason::kNone;
    answer.retryAfter = 1200ms;
    answer.session = "token";
    server->Answer(answer);
  }

  caller_server* server = nullptr;
  bool deferAnswers = false;
  currantshed::outcome::verdict verdict = currantshed::outcome::verdict::kDone;
  std::vector<caller_request> received;
  std::vector<request_number> cancelled;
  unsigned refused = 0;
};

/// A server and its sink on an io_context that the test polls explicitly.
class server_fixture
{
public:
  explicit server_fixture(const caller_limits& aLimits)
    : server(mContext, aLimits, sink)
  {
    sink.server = &server;
    CHECK(!server.Start(kAddress, 0));
  }

  ~server_fixture() { server.Stop(); }

  server_fixture(const server_fixture&) = delete;
  server_fixture& operator=(const server_fixture&) = delete;

  [[nodiscard]] tcp::socket Connect()
  {
    tcp::socket made(mContext);
    made.connect({ boost::asio::ip::make_address(kAddress), server.Port() });
    made.non_blocking(true);
    return made;
  }

  /// Polls the io_context until the condition holds; false after the time
  /// limit.
  template<typename condition>
  [[nodiscard]] bool Until(condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      mContext.restart();
      mContext.run_one_for(10ms);
    }
    return true;
  }

  /// Sends the text as far as the server accepts it.
  void Send(tcp::socket& aSocket, std::string_view aBytes)
  {
    (void)Until([&] {
      error_code error;
      const auto sent = aSocket.write_some(boost::asio::buffer(aBytes), error);
      aBytes.remove_prefix(sent);
      return aBytes.empty() ||
             (error && error != boost::asio::error::would_block);
    });
  }

  /// Reads until aCount responses have arrived or the connection ends.
  [[nodiscard]] std::string Read(tcp::socket& aSocket, std::size_t aCount)
  {
    std::string text;
    CHECK(Until([&] {
      std::array<char, 4096> piece{};
      error_code error;
      const auto read = aSocket.read_some(boost::asio::buffer(piece), error);
      text.append(piece.data(), read);
      mEnded = error && error != boost::asio::error::would_block;
      return mEnded || Answers(text) >= aCount;
    }));
    return text;
  }

  /// Whether the last read reached the end of the connection.
  [[nodiscard]] bool Ended() const { return mEnded; }

  [[nodiscard]] static std::size_t Answers(const std::string& aText)
  {
    std::size_t count = 0;
    for (std::size_t at = aText.find("\"}"); at != std::string::npos;
         at = aText.find("\"}", at + 1)) {
      ++count;
    }
    return count;
  }

private:
  boost::asio::io_context mContext;
  bool mEnded = false;

public:
  fake_sink sink;
  caller_server server;
};

caller_limits
Limits()
{
  caller_limits limits;
  limits.bodyBytes = kBodyLimit;
  limits.headerBytes = 2000;
  return limits;
}

std::string
Request(const std::string& aBody, const std::string& aHeaders = "")
{
  return "POST /v1/statements HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" + aBody;
}

std::string
Good(const std::string& aHeaders = "")
{
  return Request(R"({"class":"c","group":"g","sql":"s"})", aHeaders);
}

struct row
{
  const char* name;
  std::string bytes;
  const char* status;
  const char* text;
  std::size_t received;
};

const row kRows[] = {
  { "good", Good(), "HTTP/1.1 200 OK", "Currantshed-Session: token", 1 },
  { "caller wants to close",
    Good("Connection: close\r\n"),
    "HTTP/1.1 200 OK",
    "Connection: close",
    1 },
  { "body over the limit, declared",
    "POST /v1/statements HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
    "HTTP/1.1 413 Payload Too Large",
    "body_too_large",
    0 },
  { "body over the limit, in chunks",
    "POST /v1/statements HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n800\r\n" +
      std::string(2048, 'x') + "\r\n",
    "HTTP/1.1 413 Payload Too Large",
    "body_too_large",
    0 },
  { "header over the limit",
    "GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
    "HTTP/1.1 431 Request Header Fields Too Large",
    "header_too_large",
    0 },
  { "not HTTP",
    "nonsense\r\n\r\n",
    "HTTP/1.1 400 Bad Request",
    "malformed_request",
    0 },
  { "broken JSON",
    Request("{\"class\":"),
    "HTTP/1.1 400 Bad Request",
    "incomplete JSON at byte 9",
    0 },
  { "no such path",
    "GET /nowhere HTTP/1.1\r\n\r\n",
    "HTTP/1.1 404 Not Found",
    "not_found",
    0 },
  { "wrong method",
    "DELETE /v1/statements HTTP/1.1\r\n\r\n",
    "HTTP/1.1 405 Method Not Allowed",
    "method_not_allowed",
    0 },
};

} // namespace

TEST_GROUP(gateway_caller_server){};

TEST(gateway_caller_server, requests)
{
  for (const auto& row : kRows) {
    server_fixture made(Limits());
    auto caller = made.Connect();
    made.Send(caller, row.bytes);
    const std::string answer = made.Read(caller, 1);
    CHECK_TEXT(answer.rfind(row.status, 0) == 0, row.name);
    CHECK_TEXT(answer.find(row.text) != std::string::npos, row.name);
    LONGS_EQUAL_TEXT(row.received, made.sink.received.size(), row.name);
    LONGS_EQUAL_TEXT(1 - row.received, made.sink.refused, row.name);
    auto next = made.Connect();
    made.Send(next, Good());
    const std::string other = made.Read(next, 1);
    CHECK_TEXT(other.find("200 OK") != std::string::npos, row.name);
  }
}

TEST(gateway_caller_server, pipelined_requests_are_answered_in_order)
{
  server_fixture made(Limits());
  auto caller = made.Connect();
  made.Send(caller, Good() + Good() + Good("Connection: close\r\n"));
  const std::string answers = made.Read(caller, 4);
  LONGS_EQUAL(3, server_fixture::Answers(answers));
  CHECK(made.Ended());
  LONGS_EQUAL(3, made.sink.received.size());
}

TEST(gateway_caller_server, retry_delay_is_rounded_up)
{
  server_fixture made(Limits());
  made.sink.verdict = currantshed::outcome::verdict::kNotRun;
  auto caller = made.Connect();
  made.Send(caller, Good());
  const std::string answer = made.Read(caller, 1);
  CHECK(answer.find("Retry-After: 2\r\n") != std::string::npos);
  CHECK(answer.find("\"retry_after_ms\":1200") != std::string::npos);
}

TEST(gateway_caller_server, disconnect_cancels_the_request)
{
  server_fixture made(Limits());
  made.sink.deferAnswers = true;
  auto caller = made.Connect();
  made.Send(caller, Good());
  CHECK(made.Until([&] { return made.sink.received.size() == 1; }));
  caller.close();
  CHECK(made.Until([&] { return made.sink.cancelled.size() == 1; }));
  CHECK(made.sink.cancelled[0] == made.sink.received[0].number);
  LONGS_EQUAL(0, made.server.Connections());
  made.sink.Answer(made.sink.received[0].number);
}

TEST(gateway_caller_server, disconnect_in_a_body_is_dropped)
{
  server_fixture made(Limits());
  auto caller = made.Connect();
  made.Send(caller, Good().substr(0, 80));
  CHECK(made.Until([&] { return made.server.Busy() == 1; }));
  caller.close();
  CHECK(made.Until([&] { return made.server.Connections() == 0; }));
  LONGS_EQUAL(0, made.sink.received.size());
}

TEST(gateway_caller_server, request_that_does_not_arrive_in_time)
{
  auto limits = Limits();
  limits.requestTimeout = 1ms;
  server_fixture made(limits);
  auto caller = made.Connect();
  made.Send(caller, Good().substr(0, 40));
  const std::string answer = made.Read(caller, 1);
  CHECK(answer.rfind("HTTP/1.1 408 Request Timeout", 0) == 0);
}

TEST(gateway_caller_server, caller_that_stops_reading_is_cut_off)
{
  auto limits = Limits();
  limits.writeTimeout = 1ms;
  server_fixture made(limits);
  made.sink.deferAnswers = true;
  auto caller = made.Connect();
  made.Send(caller, Good());
  CHECK(made.Until([&] { return made.sink.received.size() == 1; }));
  caller_answer answer;
  answer.number = made.sink.received[0].number;
  answer.verdict = currantshed::outcome::verdict::kDone;
  // More than the operating system buffers for a caller.
  answer.results = { { { "c" }, { std::string(64UL * 1024 * 1024, 'x') }, 0 } };
  made.server.Answer(answer);
  CHECK(made.Until([&] { return made.server.Connections() == 0; }));
}

TEST(gateway_caller_server, connections_over_the_limit_are_told_so)
{
  auto limits = Limits();
  limits.connections = 1;
  server_fixture made(limits);
  auto first = made.Connect();
  CHECK(made.Until([&] { return made.server.Connections() == 1; }));
  auto second = made.Connect();
  const std::string answer = made.Read(second, 2);
  CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(made.Ended());
  const auto body = answer.substr(answer.find("\r\n\r\n") + 4);
  CHECK(answer.find("Content-Length: " + std::to_string(body.size())) !=
        std::string::npos);
}

TEST(gateway_caller_server, shutdown_closes_connections_after_their_answer)
{
  server_fixture made(Limits());
  made.sink.deferAnswers = true;
  auto idle = made.Connect();
  auto busy = made.Connect();
  made.Send(busy, Good());
  CHECK(made.Until([&] {
    return made.sink.received.size() == 1 && made.server.Connections() == 2;
  }));
  made.server.BeginShutdown();
  made.server.CloseIdle();
  LONGS_EQUAL(1, made.server.Connections());
  made.sink.Answer(made.sink.received[0].number);
  const std::string answer = made.Read(busy, 2);
  CHECK(answer.find("200 OK") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(made.Ended());
}

// Guards against requests that are aborted while a gateway shuts down, seen for
// one or two of 11,940 requests under load. Three cases caused it: a caller
// sent on a connection that had been idle for 1.47 s, longer than the 1 s for
// which the gateway announces its shutdown ("kept":1 in callers_closed; "end of
// stream" at the caller); a caller had connected but not sent yet ("fresh":1,
// "end of stream"); a connection was still in the backlog of the listening
// socket when that was closed ("Connection reset by peer").
TEST(gateway_caller_server, nothing_is_cut_off_by_the_end)
{
  enum class state
  {
    kKept,
    kFresh,
    kQueued,
  };
  struct row
  {
    const char* name;
    state before;
    bool sentBeforeShutdown;
  };
  const row rows[] = {
    { "kept, sent before", state::kKept, true },
    { "kept, sent afterwards", state::kKept, false },
    { "fresh, sent before", state::kFresh, true },
    { "fresh, sent afterwards", state::kFresh, false },
    { "queued, sent before", state::kQueued, true },
    { "queued, sent afterwards", state::kQueued, false },
  };
  for (const auto& row : rows) {
    auto limits = Limits();
    limits.lingerTimeout = 1ms;
    server_fixture made(limits);
    auto caller = made.Connect();
    if (row.before == state::kKept) {
      made.Send(caller, Good());
      CHECK_TEXT(server_fixture::Answers(made.Read(caller, 1)) == 1, row.name);
    } else if (row.before == state::kFresh) {
      CHECK_TEXT(made.Until([&] { return made.server.Connections() == 1; }),
                 row.name);
    }
    if (row.sentBeforeShutdown) {
      caller.write_some(boost::asio::buffer(Good()));
    }
    made.server.BeginShutdown();
    made.server.StopListening();
    if (!row.sentBeforeShutdown) {
      made.Send(caller, Good());
    }
    const std::string answer = made.Read(caller, 2);
    CHECK_TEXT(answer.find("200 OK") != std::string::npos, row.name);
    CHECK_TEXT(answer.find("Connection: close") != std::string::npos, row.name);
    CHECK_TEXT(made.Ended(), row.name);
    CHECK_TEXT(made.Until([&] { return made.server.Connections() == 0; }),
               row.name);
  }
}

TEST(gateway_caller_server, new_connections_are_refused_once_it_stops_listening)
{
  server_fixture made(Limits());
  const auto port = made.server.Port();
  made.server.StopListening();
  boost::asio::io_context context;
  tcp::socket late(context);
  error_code error;
  late.connect({ boost::asio::ip::make_address(kAddress), port }, error);
  CHECK(error == boost::asio::error::connection_refused);
}

// Bytes that a caller has sent are read even if the idle timeout has passed.
TEST(gateway_caller_server, idle_connections_with_bytes_to_read_are_not_closed)
{
  struct row
  {
    const char* name;
    std::chrono::milliseconds idleTimeout;
    bool closesIdle;
  };
  const row rows[] = {
    { "closed at the end of the time to drain", 300000ms, true },
    { "idle for too long", 0ms, false },
  };
  for (const auto& row : rows) {
    auto limits = Limits();
    limits.idleTimeout = row.idleTimeout;
    server_fixture made(limits);
    auto caller = made.Connect();
    CHECK_TEXT(made.Until([&] { return made.server.Connections() == 1; }),
               row.name);
    caller.write_some(boost::asio::buffer(Good()));
    if (row.closesIdle) {
      LONGS_EQUAL_TEXT(0, made.server.CloseIdle().unread, row.name);
    } else {
      made.server.CheckTimeouts();
    }
    const std::string answer = made.Read(caller, 1);
    CHECK_TEXT(answer.find("200 OK") != std::string::npos, row.name);
  }
}
