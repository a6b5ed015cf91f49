#include "test/wire/plain_connection.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace currantshed::test::wire {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr timeval kReadTimeout{ 10, 0 };
// Most lines are sent in pieces of a few bytes; pieces of a long one are
// larger.
constexpr std::size_t kMaxPiece = 24;
constexpr std::size_t kPiecesOfLongLine = 64;
// Keeps two pieces apart on the wire, for some of them.
constexpr std::chrono::microseconds kPause{ 200 };

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

const sockaddr*
Generic(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress); // NOLINT
}

} // namespace

plain_connection::plain_connection(int aSocket, unsigned aSeed)
  : mSocket(aSocket)
  , mRandom(aSeed)
{
  const int on = 1;
  ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::setsockopt(
    mSocket, SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof(kReadTimeout));
}

plain_connection::~plain_connection()
{
  ::close(mSocket);
}

bool
plain_connection::SendLine(std::string_view aText)
{
  const auto bytes = std::string(aText) + std::string(kLineEnd);
  const auto longest = std::max(kMaxPiece, bytes.size() / kPiecesOfLongLine);
  for (std::string_view rest = bytes; !rest.empty();) {
    const auto size =
      std::min<std::size_t>(1 + mRandom() % longest, rest.size());
    const auto sent = ::send(mSocket, rest.data(), size, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    rest.remove_prefix(static_cast<std::size_t>(sent));
    if (mRandom() % 4 == 0) {
      std::this_thread::sleep_for(kPause);
    }
  }
  return true;
}

bool
plain_connection::ReadLine(std::string& aText)
{
  std::size_t searched = 0;
  for (;;) {
    const auto end = mUnread.find(kLineEnd, searched);
    if (end != std::string::npos) {
      aText = mUnread.substr(0, end);
      mUnread.erase(0, end + kLineEnd.size());
      return true;
    }
    searched = mUnread.empty() ? 0 : mUnread.size() - 1;
    std::array<char, 65536> chunk{};
    const auto count = ::recv(mSocket, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      return false;
    }
    mUnread.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

int
Connect(std::uint16_t aPort)
{
  const int made = ::socket(AF_INET, SOCK_STREAM, 0);
  const auto address = LoopbackAddress(aPort);
  if (::connect(made, Generic(address), sizeof(address)) != 0) {
    ::close(made);
    return -1;
  }
  return made;
}

int
Listen(std::uint16_t aPort)
{
  constexpr int kBacklog = 64;
  const int made = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = LoopbackAddress(aPort);
  if (::bind(made, Generic(address), sizeof(address)) != 0 ||
      ::listen(made, kBacklog) != 0) {
    ::close(made);
    return -1;
  }
  return made;
}

std::string
TakeWord(std::string_view& aText)
{
  const auto end = aText.find(' ');
  std::string word(aText.substr(0, end));
  aText =
    end == std::string_view::npos ? std::string_view{} : aText.substr(end + 1);
  return word;
}

} // namespace currantshed::test::wire
