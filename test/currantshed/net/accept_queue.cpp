#include "currantshed/net/accept_queue.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

namespace net = currantshed::net;
using tcp = boost::asio::ip::tcp;

namespace {

struct queue_row
{
  const char* name;
  std::size_t waiting;
};

constexpr queue_row kRows[] = {
  { "no connection", 0 },
  { "one connection", 1 },
  { "several connections", 5 },
};

} // namespace

TEST_GROUP(accept_queue){};

// Connections in the accept queue are passed on together with the data they
// have sent; later connection attempts are refused.
TEST(accept_queue, is_passed_on_before_listening_ends)
{
  for (const auto& row : kRows) {
    boost::asio::io_context context;
    tcp::acceptor acceptor(context,
                           { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const auto where = acceptor.local_endpoint();
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < row.waiting; ++i) {
      callers.emplace_back(context).connect(where);
      callers.back().write_some(boost::asio::buffer("x", 1));
    }
    std::vector<tcp::socket> handled;
    net::CloseListener(acceptor, [&handled](tcp::socket aSocket) {
      handled.push_back(std::move(aSocket));
    });
    CHECK_FALSE_TEXT(acceptor.is_open(), row.name);
    CHECK_EQUAL_TEXT(row.waiting, handled.size(), row.name);
    for (auto& one : handled) {
      std::array<char, 1> sent{};
      CHECK_EQUAL_TEXT(1U, one.read_some(boost::asio::buffer(sent)), row.name);
    }
    boost::system::error_code error;
    tcp::socket(context).connect(where, error);
    CHECK_TEXT(error == boost::asio::error::connection_refused, row.name);
  }
}
