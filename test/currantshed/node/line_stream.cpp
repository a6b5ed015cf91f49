#include "currantshed/node/line_stream.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

// Upper bound of the wait for bytes that were sent over loopback.
constexpr std::chrono::seconds kMaxWait{ 10 };

/// A stream and its peer. The peer is a plain socket, so that the bytes on the
/// wire are those of the test.
class wire
{
public:
  wire()
  {
    tcp::acceptor acceptor(
      mContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    mPeer = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(acceptor.local_endpoint().port());
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(::connect(mPeer,
                    reinterpret_cast<const sockaddr*>(&to), // NOLINT
                    sizeof(to)) == 0);
    mStream = std::make_shared<node::line_stream>(acceptor.accept());
    mStream->Start(
      { [this](std::string_view aLine) { lines.emplace_back(aLine); },
        [this] { hasEnded = true; },
        [this] { ++tooLong; } });
  }
  wire(const wire&) = delete;
  wire& operator=(const wire&) = delete;
  ~wire()
  {
    mStream->Close();
    ::close(mPeer);
  }

  /// Sends the bytes and lets the stream read them, at once.
  void Send(std::string_view aBytes)
  {
    CHECK(::send(mPeer, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(aBytes.size()));
    mContext.restart();
    mContext.run_one_for(kMaxWait);
  }

  /// Lets the stream read until it has passed on that many lines.
  void AwaitLines(std::size_t aCount)
  {
    const auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (lines.size() < aCount && std::chrono::steady_clock::now() < end) {
      mContext.restart();
      mContext.run_one_for(100ms);
    }
  }

  std::vector<std::string> lines;
  bool hasEnded = false;
  int tooLong = 0;

private:
  boost::asio::io_context mContext;
  std::shared_ptr<node::line_stream> mStream;
  int mPeer = -1;
};

struct line_row
{
  const char* name;
  /// Each piece is sent and read on its own.
  std::vector<std::string> pieces;
  std::vector<std::string> expect;
};

const line_row kRows[] = {
  { "one line", { "READ a\r\n" }, { "READ a" } },
  { "several lines in one piece",
    { "a\r\nb\r\n\r\nc\r\n" },
    { "a", "b", "", "c" } },
  { "a line feed within a text",
    { "QUERY 1 WRITE a b\nQUERY 2 WRITE c d\r\n" },
    { "QUERY 1 WRITE a b\nQUERY 2 WRITE c d" } },
  { "a row of a server with a line feed",
    { "DATAROW a\nCOMPLETE b\r\n" },
    { "DATAROW a\nCOMPLETE b" } },
  { "line feeds at both ends", { "\n\na\n\n\r\n" }, { "\n\na\n\n" } },
  { "a carriage return within a text", { "a\rb\r\n" }, { "a\rb" } },
  { "a carriage return at the end of a text", { "a\r\r\n" }, { "a\r" } },
  { "a line feed and a carriage return", { "a\n\rb\r\n" }, { "a\n\rb" } },
  { "the line end in two pieces", { "a\r", "\nb\r\n" }, { "a", "b" } },
  { "a carriage return, then the line end in two pieces",
    { "a\r", "\r", "\nb\r\n" },
    { "a\r", "b" } },
  { "a carriage return that ends a piece", { "a\r", "b\r\n" }, { "a\rb" } },
  { "a line feed that begins a piece", { "a", "\nb\r\n" }, { "a\nb" } },
  { "a line feed after a line that ended with a piece",
    { "a\r\n", "\nb\r\n" },
    { "a", "\nb" } },
  { "each byte on its own",
    { "a", "\n", "\r", "\r", "\n", "b", "\r", "\n" },
    { "a\n\r", "b" } },
  { "an incomplete line", { "a\nb\r" }, {} },
};

// A text without a line end, most of it CR and LF.
std::string
RandomText(std::mt19937& aRandom)
{
  std::string text;
  for (auto left = aRandom() % 12; left > 0; --left) {
    const char next = "\r\n x"[aRandom() % 4];
    text.push_back(next == '\n' && text.ends_with('\r') ? 'y' : next);
  }
  return text;
}

} // namespace

TEST_GROUP(line_stream){};

// A line feed alone was taken for the end of a message: the rest of the text
// was run as a statement that nobody had sent.
TEST(line_stream, a_line_feed_within_a_text_does_not_end_the_line)
{
  for (const auto& row : kRows) {
    wire made;
    for (const auto& piece : row.pieces) {
      made.Send(piece);
    }
    CHECK_TEXT(made.lines == row.expect, row.name);
    CHECK_FALSE_TEXT(made.hasEnded, row.name);
  }
}

// The end of a line was missed, or found too early, where a read ended next to
// it.
TEST(line_stream, lines_are_the_same_wherever_the_stream_is_cut)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::string> texts;
    std::string bytes;
    while (texts.size() < 30) {
      texts.push_back(RandomText(random));
      bytes += texts.back() + "\r\n";
    }
    wire made;
    for (std::string_view rest = bytes; !rest.empty();) {
      const auto size = std::min<std::size_t>(1 + random() % 9, rest.size());
      made.Send(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    CHECK_TEXT(made.lines == texts, std::to_string(seed).c_str());
  }
}

TEST(line_stream, a_text_of_the_maximum_length_is_whole)
{
  std::string text(node::kMaxMessageBytes, 'x');
  text[text.size() / 2] = '\n';
  text.back() = '\r';
  wire made;
  const auto bytes = text + "\r\nnext\r\n";
  for (std::string_view rest = bytes; !rest.empty();) {
    const auto size = std::min<std::size_t>(16384, rest.size());
    made.Send(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  made.AwaitLines(2);
  CHECK(made.lines == std::vector<std::string>({ text, "next" }));
}

// A message over the limit ended the session without a word.
TEST(line_stream, a_line_over_the_limit_is_reported_and_the_next_one_read)
{
  const auto bytes =
    std::string(node::kMaxMessageBytes + 1, 'x') + "\r\nnext\r\n";
  wire made;
  for (std::string_view rest = bytes; !rest.empty();) {
    const auto size = std::min<std::size_t>(16384, rest.size());
    made.Send(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  made.AwaitLines(1);
  CHECK(made.lines == std::vector<std::string>{ "next" });
  LONGS_EQUAL(1, made.tooLong);
  CHECK_FALSE(made.hasEnded);
}
