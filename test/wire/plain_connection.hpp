#ifndef CURRANTSHED_TEST_WIRE_PLAIN_CONNECTION_HPP
#define CURRANTSHED_TEST_WIRE_PLAIN_CONNECTION_HPP

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace currantshed::test::wire {

/// One end of a connection that carries lines, on a plain socket. It shares no
/// code with the programs under test, so that a fault of theirs in reading or
/// building lines shows. Blocks; a read that takes longer than ten seconds
/// fails.
class plain_connection
{
public:
  /// Takes over the socket.
  plain_connection(int aSocket, unsigned aSeed);
  plain_connection(const plain_connection&) = delete;
  plain_connection& operator=(const plain_connection&) = delete;
  ~plain_connection();

  /// Sends the line, its end added, in pieces of random length. Returns false
  /// if the connection has ended.
  [[nodiscard]] bool SendLine(std::string_view aText);

  /// Reads up to the next CR LF. Returns false if the connection has ended.
  [[nodiscard]] bool ReadLine(std::string& aText);

private:
  int mSocket;
  std::mt19937 mRandom;
  std::string mUnread;
};

/// Connects to a port of 127.0.0.1; returns -1 if that fails.
[[nodiscard]] int
Connect(std::uint16_t aPort);

/// Listens on a port of 127.0.0.1; returns -1 if that fails.
[[nodiscard]] int
Listen(std::uint16_t aPort);

/// Removes the first word and the blank after it, and returns the word.
std::string
TakeWord(std::string_view& aText);

} // namespace currantshed::test::wire

#endif
