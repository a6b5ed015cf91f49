// Answers of the store that take long, break off or are too large were all
// reported as a call that was not answered, and so asked for again unchanged.
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "currantshed/store/errors.hpp"
#include "platform/store_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr auto kMaxWait = 20s;
// Far shorter than the answers below take.
constexpr std::chrono::milliseconds kCallTimeout{ 100 };
constexpr std::chrono::milliseconds kPause{ 30 };
constexpr int kPieces = 10;

/// How the stand-in for the store answers a call.
struct answer_script
{
  /// Sent one after the other, with a pause in between.
  std::vector<std::string> pieces;
  /// Whether the connection is closed then.
  bool closes = false;
};

/// A store that answers each call by its path.
class scripted_store
{
public:
  explicit scripted_store(boost::asio::io_context& aContext)
    : mContext(aContext)
    , mAcceptor(aContext, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
  {
    Accept();
  }

  [[nodiscard]] node::address Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  std::function<answer_script(const std::string& aRequestLine)> script;

private:
  struct session
  {
    session(boost::asio::io_context& aContext, tcp::socket aSocket)
      : socket(std::move(aSocket))
      , timer(aContext)
    {
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf in;
    answer_script answer;
    std::size_t sent = 0;
  };
  using session_ptr = std::shared_ptr<session>;

  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<session>(mContext, std::move(aSocket)));
          Accept();
        }
      });
  }

  void Read(const session_ptr& aSession)
  {
    boost::asio::async_read_until(
      aSession->socket,
      aSession->in,
      "\r\n\r\n",
      [this, aSession](boost::system::error_code aError, std::size_t aSize) {
        if (aError) {
          return;
        }
        std::istream in(&aSession->in);
        std::string line;
        std::getline(in, line);
        aSession->in.consume(aSize - line.size() - 1);
        aSession->answer = script(line);
        aSession->sent = 0;
        Write(aSession);
      });
  }

  void Write(const session_ptr& aSession)
  {
    const auto& answer = aSession->answer;
    if (aSession->sent == answer.pieces.size()) {
      if (answer.closes) {
        boost::system::error_code ignored;
        aSession->socket.close(ignored);
      } else {
        Read(aSession);
      }
      return;
    }
    boost::asio::async_write(
      aSession->socket,
      boost::asio::buffer(answer.pieces[aSession->sent++]),
      [this, aSession](boost::system::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        aSession->timer.expires_after(kPause);
        aSession->timer.async_wait(
          [this, aSession](boost::system::error_code aStopped) {
            if (!aStopped) {
              Write(aSession);
            }
          });
      });
  }

  boost::asio::io_context& mContext;
  tcp::acceptor mAcceptor;
};

std::string
Header(std::size_t aLength, const char* aStatus = "200 OK")
{
  return std::string("HTTP/1.1 ") + aStatus +
         "\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

// The head, and then the body in pieces.
answer_script
InPieces(const std::string& aBody)
{
  answer_script made;
  made.pieces.push_back(Header(aBody.size()));
  const auto size = aBody.size() / kPieces + 1;
  for (std::size_t at = 0; at < aBody.size(); at += size) {
    made.pieces.push_back(aBody.substr(at, size));
  }
  return made;
}

answer_script
WithoutEnd(const std::string& aBody, bool aCloses)
{
  auto made = InPieces(aBody);
  made.pieces.resize(made.pieces.size() / 2);
  made.closes = aCloses;
  return made;
}

// Both a page of keys and a list of changes.
const std::string kBody =
  R"({"items": [], "events": [], "has_more": false, "store_revision": 7,)"
  R"( "key": "a/1", "value": "", "revision": 7})";

struct answer_row
{
  const char* name;
  answer_script answer;
  std::error_code expect;
};

const answer_row kRows[] = {
  { "at once", { { Header(kBody.size()) + kBody } }, {} },
  { "slowly, but without a pause", InPieces(kBody), {} },
  { "a pause without an end",
    WithoutEnd(kBody, false),
    store::errc::kIncomplete },
  { "a connection that breaks",
    WithoutEnd(kBody, true),
    store::errc::kIncomplete },
  { "nothing", {}, store::errc::kTimeout },
  { "a connection that breaks before the answer",
    { {}, true },
    store::errc::kTimeout },
  { "a length over the limit",
    { { Header(std::size_t{ 9 } << 20U) } },
    store::errc::kTooLarge },
  { "no JSON", { { Header(4) + "oops" } }, store::errc::kMalformed },
  { "no history",
    { { Header(0, "410 Gone") } },
    store::errc::kHistoryCompacted },
};

/// A call, and where its error goes.
struct call_row
{
  const char* name;
  std::function<void(store::key_value&, std::function<void(std::error_code)>)>
    make;
};

const call_row kCalls[] = {
  { "watch",
    [](auto& aStore, auto aDone) {
      aStore.Watch({ "a/", { 0, 1 } },
                   kCallTimeout,
                   [aDone](auto aError, auto, auto, auto) { aDone(aError); });
    } },
  { "check",
    [](auto& aStore, auto aDone) {
      aStore.ChangesSince(
        { "a/", { 0, 1 } },
        [aDone](auto aError, auto, auto, auto) { aDone(aError); });
    } },
  { "range",
    [](auto& aStore, auto aDone) {
      aStore.Range("a/",
                   [aDone](auto aError, auto, auto, auto) { aDone(aError); });
    } },
  { "key",
    [](auto& aStore, auto aDone) {
      aStore.Get("a/1", [aDone](auto aError, auto, auto) { aDone(aError); });
    } },
};

/// The store's client and the stand-in.
struct fixture
{
  fixture()
    : store(context)
    , client(platform::MakeStoreClient(context, store.Address()))
  {
    client->SetCallTimeout(kCallTimeout);
  }

  /// Runs until the condition holds.
  void Await(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(100ms);
    }
  }

  boost::asio::io_context context;
  scripted_store store;
  std::unique_ptr<store::key_value> client;
};

} // namespace

TEST_GROUP(slow_answers){};

TEST(slow_answers, a_call_tells_why_its_answer_did_not_come)
{
  for (const auto& row : kRows) {
    for (const auto& call : kCalls) {
      fixture made;
      made.store.script = [&row](const std::string&) { return row.answer; };
      std::vector<std::error_code> errors;
      call.make(*made.client, [&errors](std::error_code aError) {
        errors.push_back(aError);
      });
      made.Await([&errors] { return !errors.empty(); });
      const auto name = std::string(row.name) + ", " + call.name;
      LONGS_EQUAL_TEXT(1, errors.size(), name.c_str());
      CHECK_TEXT(errors.front() == row.expect, name.c_str());
    }
  }
}

// Changes larger than the call allows are not transferred.
TEST(slow_answers, a_call_may_limit_the_size_of_changes)
{
  fixture made;
  made.store.script = [](const std::string&) {
    return answer_script{ { Header(200'000) } };
  };
  std::vector<std::error_code> errors;
  made.client->Watch(
    { "a/", { 0, 1 }, 100'000 },
    kCallTimeout,
    [&](auto aError, auto, auto, auto) { errors.push_back(aError); });
  made.Await([&errors] { return !errors.empty(); });
  CHECK(errors == std::vector<std::error_code>{ store::errc::kTooLarge });
}

// A read of large keys held up the renewal of the lease, which is sent on the
// same connection.
TEST(slow_answers, a_read_of_watched_keys_delays_no_renewal)
{
  fixture made;
  made.store.script = [](const std::string& aRequest) {
    const bool isRange = aRequest.find("range") != std::string::npos;
    return isRange ? InPieces(kBody)
                   : answer_script{ { Header(kBody.size()) + kBody } };
  };
  std::vector<std::string> done;
  made.client->Watch(
    { "a/", { 0, 1 } }, kCallTimeout, [&](auto, auto, auto, auto) {
      done.emplace_back("watch");
    });
  made.Await([&done] { return done.size() == 1; });
  made.client->Range(
    "a/", [&](auto, auto, auto, auto) { done.emplace_back("range"); });
  made.client->KeepAlive({ 0, 1 },
                         [&](auto, auto) { done.emplace_back("renewal"); });
  made.Await([&done] { return done.size() == 3; });
  CHECK(done == std::vector<std::string>({ "watch", "renewal", "range" }));
}
