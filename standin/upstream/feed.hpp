#ifndef CURRANTSHED_STANDIN_UPSTREAM_FEED_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_FEED_HPP

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "standin/upstream/delayed_writer.hpp"
#include "standin/upstream/log.hpp"

namespace currantshed::standin::postgres {

class server;

/// What a replica says first: the term it is in, and its log in short.
struct replica_hello
{
  term_id term = 0;
  log_summary summary;
};

[[nodiscard]] std::string
EncodeHello(const replica_hello& aHello);
[[nodiscard]] std::optional<replica_hello>
DecodeHello(std::string_view aBytes);

/// Types of the messages between primary and replica.
namespace replication {
/// Primary: term, and the last record that both logs share.
inline constexpr char kStart = 'S';
/// Primary: index and bytes of one record.
inline constexpr char kRecord = 'L';
/// Primary: nothing new.
inline constexpr char kHeartbeat = 'H';
/// Replica: the last index stored.
inline constexpr char kStored = 'A';
} // namespace replication

/// One replica of this primary: sends it the records that it lacks, then each
/// new one, and heartbeats.
class feed : public std::enable_shared_from_this<feed>
{
public:
  feed(server& aServer, boost::asio::ip::tcp::socket aSocket);

  /// Begins after the last record shared with the replica.
  void Start(const replica_hello& aHello);
  /// Sends records that have not been sent.
  void Pump();
  void Beat();
  void Close();
  /// The last index that the replica stored, by its own word.
  [[nodiscard]] log_index Stored() const noexcept;

private:
  void Read();
  [[nodiscard]] bool TakeMessages();
  void Send(std::string aBytes);

  static constexpr std::size_t kReadSize = 4096;

  server& mServer;
  boost::asio::ip::tcp::socket mSocket;
  delayed_writer mWriter;
  std::array<char, kReadSize> mChunk{};
  std::string mInput;
  log_index mNext = 1;
  log_index mStored = 0;
  bool mClosed = false;
};

} // namespace currantshed::standin::postgres

#endif
