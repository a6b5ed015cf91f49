#include "currantshed/news/exchange.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using news::exchange;
using news::peer;

namespace {

constexpr const char* kAddress = "127.0.0.1";
constexpr auto kBound = 10s;
const clock::time_point kStart{ 1h };

/// A port that was free a moment ago.
std::uint16_t
FreePort()
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address(kAddress), 0 });
  return acceptor.local_endpoint().port();
}

/// One VM's exchange, and the sequence numbers of the announcements that it
/// received.
struct vm
{
  vm(asio::io_context& aContext, zmq::context_t& aZmq, const std::string& aName)
    : self{ aName, kAddress, FreePort() }
    , own(aContext,
          aZmq,
          self,
          1,
          [this](const news::News& aMessage,
                 const exchange::clock_converter&,
                 clock::time_point) {
            received.push_back(aMessage.own_change());
          })
  {
    CHECK_FALSE(own.Listen());
  }

  peer self;
  std::vector<std::uint64_t> received;
  exchange own;
};

news::News
Numbered(std::uint64_t aNumber)
{
  news::News message;
  message.set_own_change(aNumber);
  return message;
}

struct connection_row
{
  const char* name;
  /// Which peers are sent to, and after how long.
  std::vector<std::pair<std::chrono::milliseconds, std::string>> sent;
  std::chrono::milliseconds when;
  std::size_t connections;
};

const connection_row kConnectionRows[] = {
  { "no message, no connection", {}, 0ms, 0 },
  { "one connection per peer that is sent to",
    { { 0ms, "a" }, { 0ms, "b" } },
    100ms,
    2 },
  { "one connection for any number of messages",
    { { 0ms, "a" }, { 10ms, "a" }, { 20ms, "a" } },
    100ms,
    1 },
  { "an idle connection is closed",
    { { 0ms, "a" }, { 0ms, "b" }, { 9000ms, "b" } },
    12000ms,
    1 },
  { "a connection in use stays open",
    { { 0ms, "a" }, { 9000ms, "a" }, { 18000ms, "a" } },
    20000ms,
    1 },
};

} // namespace

TEST_GROUP(exchange)
{
  asio::io_context mContext;
  zmq::context_t mZmq;

  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    const auto last = std::chrono::steady_clock::now() + kBound;
    while (!aCondition() && std::chrono::steady_clock::now() < last) {
      mContext.restart();
      mContext.run_one_for(10ms);
    }
    return aCondition();
  }
};

TEST(exchange, a_connection_is_open_while_it_is_used)
{
  for (const auto& row : kConnectionRows) {
    vm one(mContext, mZmq, "one");
    one.own.SetPeers({ { "a", kAddress, 1 }, { "b", kAddress, 1 } });
    for (const auto& [at, to] : row.sent) {
      one.own.CloseIdle(kStart + at);
      one.own.Send(to, Numbered(1), kStart + at);
    }
    one.own.CloseIdle(kStart + row.when);
    CHECK_EQUAL_TEXT(row.connections, one.own.OpenConnectionCount(), row.name);
  }
}

// After a connection was closed and reopened, the new one may be read before
// messages that are still queued on the old one. Older messages must not
// override newer ones.
TEST(exchange, messages_older_than_the_latest_are_dropped)
{
  vm one(mContext, mZmq, "one");
  vm other(mContext, mZmq, "other");
  one.own.SetPeers({ other.self });
  const auto sent = [&](std::uint64_t aNumber, std::chrono::milliseconds aAt) {
    return RunUntil([&] {
      one.own.Send("other", Numbered(aNumber), kStart + aAt);
      return !other.received.empty() && other.received.back() == aNumber;
    });
  };
  CHECK(sent(1, 0ms));
  CHECK(sent(2, 200ms));
  one.own.Send("other", Numbered(3), kStart + 100ms);
  CHECK(sent(4, 300ms));
  for (const auto number : other.received) {
    CHECK(number != 3);
  }
}

// The first poll of a VM that starts, and its answer, were lost: a connection
// that is being opened takes no messages yet.
TEST(exchange, the_first_message_on_a_connection_arrives)
{
  vm one(mContext, mZmq, "one");
  vm other(mContext, mZmq, "other");
  one.own.SetPeers({ other.self });
  other.own.SetPeers({ one.self });
  one.own.Send("other", Numbered(1), std::chrono::steady_clock::now());
  CHECK(RunUntil([&] { return !other.received.empty(); }));
  other.own.Send("one", Numbered(2), std::chrono::steady_clock::now());
  CHECK(RunUntil([&] { return !one.received.empty(); }));
  CHECK_EQUAL(1U, other.received.size());
  CHECK_EQUAL(2U, one.received.front());
}

// A connection attempt that begins before the peer is up is made anew when the
// peer's first message arrives. The listener accepts nothing, as a machine
// without power.
TEST(exchange, a_peer_that_has_started_is_connected_to_again)
{
  vm one(mContext, mZmq, "one");
  asio::ip::tcp::acceptor listener(mContext,
                                   { asio::ip::make_address(kAddress), 0 });
  unsigned accepted = 0;
  std::vector<asio::ip::tcp::socket> sockets;
  std::function<void()> accept = [&] {
    listener.async_accept(
      [&](boost::system::error_code aError, asio::ip::tcp::socket aSocket) {
        if (!aError) {
          ++accepted;
          sockets.push_back(std::move(aSocket));
          accept();
        }
      });
  };
  accept();
  const auto port = listener.local_endpoint().port();
  one.own.SetPeers({ { "other", kAddress, port } });
  one.own.Send("other", Numbered(1), std::chrono::steady_clock::now());
  CHECK(RunUntil([&] { return accepted == 1; }));
  vm other(mContext, mZmq, "other");
  other.own.SetPeers({ one.self });
  other.own.Send("one", Numbered(2), std::chrono::steady_clock::now());
  CHECK(RunUntil([&] { return !one.received.empty(); }));
  one.own.Send("other", Numbered(3), std::chrono::steady_clock::now());
  CHECK(RunUntil([&] { return accepted >= 2; }));
  listener.cancel();
  mContext.restart();
  mContext.poll();
}
