#include "currantshed/net/dealer.hpp"
#include "currantshed/net/router.hpp"

#include <cerrno>
#include <chrono>
#include <string>
#include <vector>

#include <zmq.h>

#include "currantshed/net/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace net = currantshed::net;

namespace {

constexpr const char* kAddress = "127.0.0.1";
/// Selects any free port.
constexpr std::uint16_t kAnyPort = 0;
/// A port without a listener.
constexpr std::uint16_t kUnusedPort = 1;
constexpr auto kTestTimeout = 10s;

struct mapping_row
{
  const char* name;
  int number;
  net::net_errc expected;
};

constexpr mapping_row kMappingRows[] = {
  { "port in use", EADDRINUSE, net::net_errc::kAddressInUse },
  { "address of another host",
    EADDRNOTAVAIL,
    net::net_errc::kAddressNotAvailable },
  { "invalid address", EINVAL, net::net_errc::kAddressNotAvailable },
  { "no device", ENODEV, net::net_errc::kAddressNotAvailable },
  { "queue full", EAGAIN, net::net_errc::kQueueFull },
  { "peer disconnected", EHOSTUNREACH, net::net_errc::kUnreachable },
  { "socket closed", ENOTSOCK, net::net_errc::kClosed },
  { "context ended", ETERM, net::net_errc::kClosed },
  { "anything else", EFAULT, net::net_errc::kSystem },
};

/// Runs the context until the condition holds, for at most kTestTimeout.
template<typename Condition>
bool
RunUntil(asio::io_context& aContext, Condition aCondition)
{
  const auto last = std::chrono::steady_clock::now() + kTestTimeout;
  while (!aCondition() && std::chrono::steady_clock::now() < last) {
    aContext.restart();
    aContext.run_one_for(kTestTimeout);
  }
  return aCondition();
}

struct echo_row
{
  const char* name;
  int messages;
  std::size_t bytes;
};

constexpr echo_row kEchoRows[] = {
  { "one message", 1, 10 },
  { "an empty message", 1, 0 },
  { "more messages than one drain handles", 1000, 10 },
  { "a long message", 1, 1000000 },
};

} // namespace

TEST_GROUP(zmq_socket)
{
  asio::io_context mContext;
  zmq::context_t mZmq;
};

TEST(zmq_socket, error_mapping)
{
  for (const auto& row : kMappingRows) {
    CHECK_TEXT(net::FromZmqError(row.number) == row.expected, row.name);
  }
}

TEST(zmq_socket, every_message_is_echoed_in_order)
{
  for (const auto& row : kEchoRows) {
    net::router router(mContext, mZmq, {});
    net::dealer dealer(mContext, mZmq, {});
    int echoed = 0;
    bool connected = false;
    CHECK_FALSE_TEXT(
      router.Bind(kAddress,
                  kAnyPort,
                  [&](std::string_view aPeer, std::string_view aBytes) {
                    CHECK_FALSE(router.Send(aPeer, aBytes));
                  }),
      row.name);
    dealer.OnConnectionChange([&](bool aIsUp) { connected = aIsUp; });
    CHECK_FALSE_TEXT(dealer.Connect(kAddress,
                                    router.Port(),
                                    [&](std::string_view aBytes) {
                                      CHECK_EQUAL(row.bytes, aBytes.size());
                                      ++echoed;
                                    }),
                     row.name);
    CHECK_TEXT(RunUntil(mContext, [&] { return connected; }), row.name);
    const std::string bytes(row.bytes, 'x');
    for (int sent = 0; sent < row.messages; ++sent) {
      CHECK_FALSE_TEXT(dealer.Send(bytes), row.name);
    }
    const bool all = RunUntil(mContext, [&] { return echoed == row.messages; });
    CHECK_TEXT(all, row.name);
  }
}

TEST(zmq_socket, a_dealer_without_connection_refuses_at_once)
{
  net::dealer dealer(mContext, mZmq, {});
  CHECK_FALSE(dealer.Connect(kAddress, kUnusedPort, [](std::string_view) {}));
  CHECK(dealer.Send("x") == make_error_code(net::net_errc::kQueueFull));
}

TEST(zmq_socket, a_first_message_may_wait_for_its_connection)
{
  net::socket_settings settings;
  settings.requireConnection = false;
  net::router router(mContext, mZmq, {});
  net::dealer dealer(mContext, mZmq, settings);
  std::string got;
  CHECK_FALSE(router.Bind(
    kAddress, kAnyPort, [&](auto, std::string_view aBytes) { got = aBytes; }));
  CHECK_FALSE(dealer.Connect(kAddress, router.Port(), [](auto) {}));
  CHECK_FALSE(dealer.Send("first"));
  CHECK(RunUntil(mContext, [&] { return !got.empty(); }));
  STRCMP_EQUAL("first", got.c_str());
}

TEST(zmq_socket, a_router_refuses_for_a_peer_that_has_gone)
{
  net::router router(mContext, mZmq, {});
  CHECK_FALSE(router.Bind(kAddress, kAnyPort, [](auto, auto) {}));
  CHECK(router.Send("none", "x") ==
        make_error_code(net::net_errc::kUnreachable));
}

TEST(zmq_socket, a_port_is_bound_once)
{
  net::router first(mContext, mZmq, {});
  net::router second(mContext, mZmq, {});
  CHECK_FALSE(first.Bind(kAddress, kAnyPort, [](auto, auto) {}));
  CHECK(second.Bind(kAddress, first.Port(), [](auto, auto) {}) ==
        make_error_code(net::net_errc::kAddressInUse));
}

TEST(zmq_socket, a_lost_connection_is_reported)
{
  auto router =
    std::make_unique<net::router>(mContext, mZmq, net::socket_settings{});
  CHECK_FALSE(router->Bind(kAddress, kAnyPort, [](auto, auto) {}));
  net::dealer dealer(mContext, mZmq, {});
  std::vector<bool> changes;
  dealer.OnConnectionChange([&](bool aIsUp) { changes.push_back(aIsUp); });
  CHECK_FALSE(
    dealer.Connect(kAddress, router->Port(), [](std::string_view) {}));
  CHECK(RunUntil(mContext, [&] { return changes.size() == 1; }));
  router.reset();
  CHECK(RunUntil(mContext, [&] { return changes.size() >= 2; }));
  CHECK(changes[0]);
  CHECK_FALSE(changes[1]);
}

TEST(zmq_socket, dealers_created_while_others_close_report_their_connections)
{
  constexpr int kRounds = 10;
  constexpr int kDealers = 20;
  net::router router(mContext, mZmq, {});
  CHECK_FALSE(router.Bind(kAddress, kAnyPort, [](auto, auto) {}));
  std::vector<std::unique_ptr<net::dealer>> dealers;
  for (int round = 0; round < kRounds; ++round) {
    dealers.clear();
    int connected = 0;
    for (int index = 0; index < kDealers; ++index) {
      auto& dealer = dealers.emplace_back(
        std::make_unique<net::dealer>(mContext, mZmq, net::socket_settings{}));
      dealer->OnConnectionChange(
        [&](bool aIsUp) { connected += aIsUp ? 1 : 0; });
      CHECK_FALSE(
        dealer->Connect(kAddress, router.Port(), [](std::string_view) {}));
    }
    CHECK_TEXT(RunUntil(mContext, [&] { return connected == kDealers; }),
               std::to_string(round).c_str());
  }
}

TEST(zmq_socket, a_closed_socket_refuses)
{
  net::dealer dealer(mContext, mZmq, {});
  dealer.Close();
  CHECK(dealer.Send("x") == make_error_code(net::net_errc::kClosed));
}
