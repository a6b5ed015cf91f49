#include "currantshed/news/exchange.hpp"

#include <chrono>
#include <cstdint>
#include <string>
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

/// One VM's exchange, and the sequence numbers of the news that came to it.
struct vm
{
  vm(asio::io_context& aContext, zmq::context_t& aZmq, const std::string& aName)
    : self{ aName, kAddress, FreePort() }
    , own(aContext,
          aZmq,
          self,
          1,
          [this](const news::News& aNews,
                 const exchange::clock_converter&,
                 clock::time_point) { came.push_back(aNews.own_change()); })
  {
    CHECK_FALSE(own.Listen());
  }

  peer self;
  std::vector<std::uint64_t> came;
  exchange own;
};

news::News
Numbered(std::uint64_t aNumber)
{
  news::News made;
  made.set_own_change(aNumber);
  return made;
}

struct link_row
{
  const char* name;
  /// After how long which peers are sent to.
  std::vector<std::pair<std::chrono::milliseconds, std::string>> sent;
  std::chrono::milliseconds when;
  std::size_t links;
};

const link_row kLinkRows[] = {
  { "no news, no link", {}, 0ms, 0 },
  { "a link for each that there is news for",
    { { 0ms, "a" }, { 0ms, "b" } },
    100ms,
    2 },
  { "one link, however much there is to say",
    { { 0ms, "a" }, { 10ms, "a" }, { 20ms, "a" } },
    100ms,
    1 },
  { "a link with nothing to say is closed",
    { { 0ms, "a" }, { 0ms, "b" }, { 9000ms, "b" } },
    12000ms,
    1 },
  { "a link in use stays, however long",
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
  for (const auto& row : kLinkRows) {
    vm one(mContext, mZmq, "one");
    one.own.SetPeers({ { "a", kAddress, 1 }, { "b", kAddress, 1 } });
    for (const auto& [at, to] : row.sent) {
      one.own.CloseIdle(kStart + at);
      one.own.Send(to, Numbered(1), kStart + at);
    }
    one.own.CloseIdle(kStart + row.when);
    CHECK_EQUAL_TEXT(row.links, one.own.OpenConnectionCount(), row.name);
  }
}

// A link that was closed and opened again may be read before what still waits
// on the former one: old news must not undo newer news.
TEST(exchange, messages_older_than_the_latest_are_dropped)
{
  vm one(mContext, mZmq, "one");
  vm other(mContext, mZmq, "other");
  one.own.SetPeers({ other.self });
  const auto sent = [&](std::uint64_t aNumber, std::chrono::milliseconds aAt) {
    return RunUntil([&] {
      one.own.Send("other", Numbered(aNumber), kStart + aAt);
      return !other.came.empty() && other.came.back() == aNumber;
    });
  };
  CHECK(sent(1, 0ms));
  CHECK(sent(2, 200ms));
  one.own.Send("other", Numbered(3), kStart + 100ms);
  CHECK(sent(4, 300ms));
  for (const auto number : other.came) {
    CHECK(number != 3);
  }
}
