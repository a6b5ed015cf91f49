// Orders to promote must not wait unchecked behind an order that the platform
// does not answer: they were sent after the lock had been lost.
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "platform/store_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using node::promotion_outcome;
using tcp = boost::asio::ip::tcp;

namespace {

// Longer than an order may take.
constexpr auto kMaxWait = 20s;

/// A promotion interface that receives orders and never answers.
class silent_interface
{
public:
  explicit silent_interface(boost::asio::io_context& aContext)
    : mAcceptor(aContext, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
  {
    Accept();
  }

  [[nodiscard]] node::address Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  /// What each connection has sent.
  std::vector<std::unique_ptr<std::string>> received;
  /// How each connection ended.
  std::vector<boost::system::error_code> ends;

private:
  struct session
  {
    tcp::socket socket;
    std::string& text;
    std::array<char, 1024> bytes{};
  };

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        received.push_back(std::make_unique<std::string>());
        Read(std::make_shared<session>(
          session{ std::move(aSocket), *received.back() }));
        Accept();
      });
  }

  void Read(const std::shared_ptr<session>& aSession)
  {
    aSession->socket.async_read_some(
      boost::asio::buffer(aSession->bytes),
      [this, aSession](boost::system::error_code aError, std::size_t aCount) {
        aSession->text.append(aSession->bytes.data(), aCount);
        if (aError) {
          ends.push_back(aError);
        } else {
          Read(aSession);
        }
      });
  }

  tcp::acceptor mAcceptor;
};

struct order
{
  const char* service;
  /// What the guard returns from the time on at which the order is made.
  std::chrono::milliseconds timeLeft;
  promotion_outcome outcome;
};

struct promoter_row
{
  const char* name;
  std::vector<order> orders;
  /// Number of connections on which an order arrives.
  unsigned arrived;
};

const promoter_row kRows[] = {
  { "an order in time", { { "a", 100ms, promotion_outcome::kUnknown } }, 1 },
  { "the lock is lost before the connection is ready",
    { { "a", 0ms, promotion_outcome::kRetryLater } },
    0 },
  { "the lock is lost while another order is not answered",
    { { "a", 100ms, promotion_outcome::kUnknown },
      { "b", 0ms, promotion_outcome::kRetryLater } },
    1 },
  { "no order waits for that of another group",
    { { "a", 100ms, promotion_outcome::kUnknown },
      { "b", 100ms, promotion_outcome::kUnknown } },
    2 },
};

} // namespace

TEST_GROUP(late_promotion_orders){};

TEST(late_promotion_orders, are_not_sent)
{
  for (const auto& row : kRows) {
    boost::asio::io_context context;
    silent_interface platform(context);
    const auto promoter = platform::MakePromoter(context, platform.Address());
    std::size_t answered = 0;
    for (const auto& one : row.orders) {
      promoter->Promote(
        one.service,
        "server",
        { "vm", 7 },
        [&one] { return one.timeLeft; },
        [&](promotion_outcome aOutcome, clock::time_point) {
          CHECK_TEXT(aOutcome == one.outcome, row.name);
          ++answered;
        });
    }
    const auto isDone = [&] {
      return answered == row.orders.size() &&
             platform.ends.size() >= row.arrived;
    };
    const auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (!isDone() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(100ms);
    }
    CHECK_EQUAL_TEXT(row.orders.size(), answered, row.name);
    unsigned arrived = 0;
    for (const auto& text : platform.received) {
      arrived += text->find("POST /promotion") != std::string::npos ? 1 : 0;
    }
    CHECK_EQUAL_TEXT(row.arrived, arrived, row.name);
    // An order that is given up is reset, so that none of its bytes arrive
    // later.
    for (const auto& one : platform.ends) {
      CHECK_TEXT(one == boost::asio::error::connection_reset, row.name);
    }
  }
}
