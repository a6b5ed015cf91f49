#include "standin/platform/server.hpp"

#include <chrono>
#include <memory>
#include <utility>

#include <absl/time/time.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "standin/platform/waiters.hpp"

namespace currantshed::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::asio::experimental::awaitable_operators::operator||;
using request_parser = http::request_parser<http::string_body>;
using response = http::response<http::string_body>;

constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaxValueBytes = 1U << 20U;
constexpr std::chrono::milliseconds kExpiryInterval{ 50 };
constexpr std::chrono::minutes kMaxWait{ 10 };
constexpr std::chrono::minutes kDefaultWait{ 5 };
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Result of a call: a response, or a connection to close without one.
struct result
{
  bool answered = true;
  answer content;
};

constexpr char kNoKey[] = "";

struct server
{
  asio::io_context& loop;
  service& platform;
  tcp::acceptor acceptor;
  waiters watches;
  waiters hungCalls;
};

using server_ptr = std::shared_ptr<server>;

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

result
DroppedCall()
{
  return result{ false, {} };
}

/// Wakes the watches whose keys have changed.
void
WakeChanged(server& aServer)
{
  for (const auto& key : aServer.platform.TakeChangedKeys()) {
    aServer.watches.Wake(key);
  }
}

clock::duration
WatchTimeout(const call& aCall)
{
  absl::Duration wait;
  if (!absl::ParseDuration(aCall.Text("wait"), &wait) ||
      wait <= absl::ZeroDuration()) {
    return kDefaultWait;
  }
  return std::min<clock::duration>(absl::ToChronoMilliseconds(wait), kMaxWait);
}

/// Waits for the timer; false if the client closed the connection first.
asio::awaitable<bool>
WaitUnlessClosed(tcp::socket& aSocket, asio::steady_timer& aTimer)
{
  const auto ended =
    co_await (aTimer.async_wait(kAwaitResult) ||
              aSocket.async_wait(tcp::socket::wait_read, kAwaitResult));
  co_return ended.index() == 0;
}

asio::awaitable<bool>
Pause(server& aServer, tcp::socket& aSocket, std::chrono::milliseconds aTime)
{
  if (aTime.count() == 0) {
    co_return true;
  }
  asio::steady_timer timer(aServer.loop, aTime);
  co_return co_await WaitUnlessClosed(aSocket, timer);
}

/// Holds a call without a response while the platform hangs, then drops it.
asio::awaitable<result>
Hang(server& aServer, tcp::socket& aSocket)
{
  asio::steady_timer timer(aServer.loop, asio::steady_timer::time_point::max());
  const waiters::registration registration(aServer.hungCalls, timer, kNoKey);
  while (aServer.platform.Faults().outageMode == outage::kHang) {
    timer.expires_at(asio::steady_timer::time_point::max());
    if (!co_await WaitUnlessClosed(aSocket, timer)) {
      break;
    }
  }
  co_return DroppedCall();
}

/// Applies the current outage to a call; true if the call ends with aResult.
asio::awaitable<bool>
ApplyOutage(server& aServer, tcp::socket& aSocket, result& aResult)
{
  switch (aServer.platform.Faults().outageMode) {
    case outage::kNone:
      co_return false;
    case outage::kHang:
      aResult = co_await Hang(aServer, aSocket);
      co_return true;
    case outage::kError:
      aResult = result{ true, { kUnavailable, "out of service", 0 } };
      co_return true;
  }
  co_return false;
}

/// Waits until the watched key changes, the watch times out or an outage
/// begins; false if the client closed the connection.
asio::awaitable<bool>
WaitForChange(server& aServer, tcp::socket& aSocket, const call& aCall)
{
  const auto end = Now() + WatchTimeout(aCall);
  asio::steady_timer timer(aServer.loop, end);
  const waiters::registration registration(
    aServer.watches, timer, KeyOf(aCall));
  while (!aServer.platform.IsWatchReady(aCall) && Now() < end &&
         aServer.platform.Faults().outageMode == outage::kNone) {
    timer.expires_at(end);
    if (!co_await WaitUnlessClosed(aSocket, timer)) {
      co_return false;
    }
  }
  co_return true;
}

bool
ConsumeOne(std::uint64_t& aCount)
{
  if (aCount == 0) {
    return false;
  }
  --aCount;
  return true;
}

/// Executes a call of the platform's interface, including injected faults.
asio::awaitable<result>
Execute(server& aServer, tcp::socket& aSocket, const call& aCall)
{
  auto& platform = aServer.platform;
  const auto kind = ClassifyCall(aCall);
  result outcome;
  if (!platform.Counter().Admit(kind, Now())) {
    co_return result{ true, { kTooManyRequests, "rate limit", 0 } };
  }
  const auto half = platform.Faults().addedLatency / 2;
  if (!co_await Pause(aServer, aSocket, half)) {
    co_return DroppedCall();
  }
  if (co_await ApplyOutage(aServer, aSocket, outcome)) {
    co_return outcome;
  }
  if (kind == call_kind::kWatch &&
      !co_await WaitForChange(aServer, aSocket, aCall)) {
    co_return DroppedCall();
  }
  if (kind == call_kind::kWrite && ConsumeOne(platform.Faults().loseRequests)) {
    co_return DroppedCall();
  }
  platform.Expire(Now());
  outcome.content = platform.Handle(aCall, Now());
  WakeChanged(aServer);
  if (kind == call_kind::kWrite && ConsumeOne(platform.Faults().loseAnswers)) {
    co_return DroppedCall();
  }
  if (!co_await Pause(aServer, aSocket, half)) {
    co_return DroppedCall();
  }
  if (co_await ApplyOutage(aServer, aSocket, outcome)) {
    co_return outcome;
  }
  co_return outcome;
}

result
Control(server& aServer, const call& aCall)
{
  result outcome;
  outcome.content =
    aServer.platform.Control(aCall, aServer.watches.Size(), Now());
  if (aCall.path == "/control/fault") {
    aServer.watches.WakeAll();
    aServer.hungCalls.WakeAll();
  }
  return outcome;
}

asio::awaitable<result>
Answer(server& aServer, tcp::socket& aSocket, request_parser& aParser)
{
  constexpr int kBadRequest = 400;
  auto& request = aParser.get();
  const auto target = request.target();
  const auto method = request.method_string();
  auto parsed = ParseCall({ method.data(), method.size() },
                          { target.data(), target.size() });
  if (!parsed) {
    co_return result{ true, { kBadRequest, "malformed target", 0 } };
  }
  parsed->body = std::move(request.body());
  if (ClassifyCall(*parsed) == call_kind::kControl) {
    co_return Control(aServer, *parsed);
  }
  co_return co_await Execute(aServer, aSocket, *parsed);
}

response
MakeResponse(answer aAnswer, bool aKeepAlive)
{
  response message;
  message.result(static_cast<unsigned>(aAnswer.status));
  message.set(http::field::content_type, "application/json");
  if (aAnswer.index != 0) {
    message.set("X-Consul-Index", std::to_string(aAnswer.index));
  }
  message.body() = std::move(aAnswer.body);
  message.keep_alive(aKeepAlive);
  message.prepare_payload();
  return message;
}

/// Serves one connection until either side closes it.
asio::awaitable<void>
Serve(server_ptr aServer, tcp::socket aSocket)
{
  constexpr int kTooLarge = 413;
  boost::beast::flat_buffer buffer;
  bool keepAlive = true;
  while (keepAlive) {
    request_parser parser;
    parser.body_limit(kMaxValueBytes);
    const auto [failure, size] =
      co_await http::async_read(aSocket, buffer, parser, kAwaitResult);
    static_cast<void>(size);
    result outcome;
    if (failure == http::error::body_limit) {
      outcome.content = { kTooLarge, "value too large", 0 };
    } else if (failure) {
      co_return;
    } else {
      outcome = co_await Answer(*aServer, aSocket, parser);
    }
    if (!outcome.answered) {
      co_return;
    }
    keepAlive = !failure && parser.get().keep_alive();
    auto message = MakeResponse(std::move(outcome.content), keepAlive);
    const auto [unsent, sent] =
      co_await http::async_write(aSocket, message, kAwaitResult);
    static_cast<void>(sent);
    keepAlive = keepAlive && !unsent;
  }
}

asio::awaitable<void>
Accept(server_ptr aServer)
{
  for (;;) {
    auto [failure, socket] =
      co_await aServer->acceptor.async_accept(kAwaitResult);
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      continue;
    }
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(
      aServer->loop, Serve(aServer, std::move(socket)), asio::detached);
  }
}

/// Expires sessions also while no calls arrive.
asio::awaitable<void>
ExpireSessions(server_ptr aServer)
{
  asio::steady_timer timer(aServer->loop);
  for (;;) {
    timer.expires_after(kExpiryInterval);
    const auto [failure] = co_await timer.async_wait(kAwaitResult);
    if (failure) {
      co_return;
    }
    aServer->platform.Expire(Now());
    WakeChanged(*aServer);
  }
}

} // namespace

bool
StartServer(asio::io_context& aLoop,
            service& aService,
            const std::string& aAddress,
            std::uint16_t aPort,
            std::string& aFault)
{
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(aAddress), aPort);
    auto instance = std::make_shared<server>(
      server{ aLoop, aService, tcp::acceptor(aLoop, endpoint), {}, {} });
    asio::co_spawn(aLoop, Accept(instance), asio::detached);
    asio::co_spawn(aLoop, ExpireSessions(instance), asio::detached);
    return true;
  } catch (const boost::system::system_error& failure) {
    aFault = failure.what();
    return false;
  }
}

} // namespace currantshed::standin
