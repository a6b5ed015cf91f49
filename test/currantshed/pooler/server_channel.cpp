#include "currantshed/pooler/server_channel.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace currantshed;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr const char* kAddress = "127.0.0.1";
constexpr auto kTestTimeout = 10s;
constexpr std::chrono::milliseconds kLong{ 10000 };
constexpr std::chrono::milliseconds kShort{ 1 };

/// Encodes a message of the PostgreSQL protocol as sent by a server: the type,
/// the length including its own four bytes, and the content.
std::string
Message(char aKind, const std::string& aContent)
{
  constexpr std::size_t kLengthBytes = 4;
  std::string message(1, aKind);
  message += std::string(kLengthBytes - 1, '\0');
  message += static_cast<char>(aContent.size() + kLengthBytes);
  return message + aContent;
}

/// A server that implements the part of the protocol that a channel uses. It
/// answers each query, or does not respond while quiet.
class fake_server
{
public:
  explicit fake_server(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address(kAddress), 0 })
  {
    Accept();
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    return mAcceptor.local_endpoint().port();
  }

  [[nodiscard]] int Connections() const { return mConnections; }

  [[nodiscard]] int Queries() const { return mQueries; }

  void SetQuiet(bool aIsQuiet) { mIsQuiet = aIsQuiet; }

  /// Closes the current connection.
  void CloseConnection() { mSocket->close(); }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        ++mConnections;
        mSocket = std::make_shared<tcp::socket>(std::move(aSocket));
        mIsStarted = false;
        Read(mSocket);
        Accept();
      });
  }

  void Read(const std::shared_ptr<tcp::socket>& aSocket)
  {
    aSocket->async_read_some(
      asio::buffer(mBuffer),
      [this, aSocket](const boost::system::error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        Reply(*aSocket);
        Read(aSocket);
      });
  }

  /// Each read is taken for the startup message or one complete query.
  void Reply(tcp::socket& aSocket)
  {
    const std::string ready = Message('Z', "I");
    if (!mIsStarted) {
      mIsStarted = true;
      const std::string accepted(4, '\0');
      asio::write(aSocket, asio::buffer(Message('R', accepted) + ready));
      return;
    }
    ++mQueries;
    if (mIsQuiet) {
      return;
    }
    const std::string answer = Message('1', "") + Message('2', "") +
                               Message('n', "") +
                               Message('C', std::string("SELECT 0") + '\0');
    asio::write(aSocket, asio::buffer(answer + ready));
  }

  tcp::acceptor mAcceptor;
  std::shared_ptr<tcp::socket> mSocket;
  std::array<char, 4096> mBuffer{};
  bool mIsStarted = false;
  bool mIsQuiet = false;
  int mConnections = 0;
  int mQueries = 0;
};

upstream::endpoint
EndpointAt(std::uint16_t aPort)
{
  upstream::endpoint endpoint;
  endpoint.address = kAddress;
  endpoint.port = aPort;
  endpoint.vm = "vm-1";
  return endpoint;
}

} // namespace

TEST_GROUP(server_channel)
{
  asio::io_context mContext;
  /// One letter per callback in order: "a" for an answer, "n" for none.
  std::string mAnswers;

  pooler::server_channel::answer RecordAnswer()
  {
    return [this](const std::optional<upstream::reply>& aReply,
                  clock::time_point) { mAnswers += aReply ? 'a' : 'n'; };
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto last = std::chrono::steady_clock::now() + kTestTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < last) {
      mContext.restart();
      mContext.run_one_for(kTestTimeout);
    }
    return aCondition();
  }

  bool RunUntilAnswered(const std::string& aAnswers)
  {
    return RunUntil([&] { return mAnswers.size() >= aAnswers.size(); }) &&
           mAnswers == aAnswers;
  }
};

TEST(server_channel, queries_share_one_connection)
{
  fake_server server(mContext);
  pooler::server_channel channel(mContext, EndpointAt(server.Port()));
  for (int asked = 0; asked < 3; ++asked) {
    channel.Query({ "SELECT 1", {} }, kLong, RecordAnswer());
  }
  CHECK(RunUntilAnswered("aaa"));
  CHECK_EQUAL(1, server.Connections());
}

TEST(server_channel, a_late_answer_drops_the_connection)
{
  fake_server server(mContext);
  pooler::server_channel channel(mContext, EndpointAt(server.Port()));
  channel.Query({ "SELECT 1", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("a"));
  server.SetQuiet(true);
  channel.Query({ "SELECT 2", {} }, kShort, RecordAnswer());
  CHECK(RunUntilAnswered("an"));
  server.SetQuiet(false);
  channel.Query({ "SELECT 3", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("ana"));
  CHECK_EQUAL(2, server.Connections());
}

TEST(server_channel, a_query_behind_a_late_one_gets_its_own_answer)
{
  fake_server server(mContext);
  pooler::server_channel channel(mContext, EndpointAt(server.Port()));
  channel.Query({ "SELECT 1", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("a"));
  server.SetQuiet(true);
  channel.Query({ "SELECT 2", {} }, kShort, RecordAnswer());
  channel.Query({ "SELECT 3", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("an"));
  server.SetQuiet(false);
  CHECK(RunUntilAnswered("ana"));
  CHECK_EQUAL(2, server.Connections());
}

TEST(server_channel, a_broken_connection_fails_waiting_queries)
{
  fake_server server(mContext);
  server.SetQuiet(true);
  pooler::server_channel channel(mContext, EndpointAt(server.Port()));
  channel.Query({ "SELECT 1", {} }, kLong, RecordAnswer());
  channel.Query({ "SELECT 2", {} }, kLong, RecordAnswer());
  CHECK(RunUntil([&] { return server.Queries() == 1; }));
  server.CloseConnection();
  CHECK(RunUntilAnswered("nn"));
  server.SetQuiet(false);
  channel.Query({ "SELECT 3", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("nna"));
}

TEST(server_channel, nobody_listens)
{
  constexpr std::uint16_t kSilentPort = 1;
  pooler::server_channel channel(mContext, EndpointAt(kSilentPort));
  channel.Query({ "SELECT 1", {} }, kLong, RecordAnswer());
  CHECK(RunUntilAnswered("n"));
}
