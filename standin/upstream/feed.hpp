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

/// First message of a replica: its current term, and a summary of its log.
struct replica_hello
{
  term_id term = 0;
  log_summary summary;
};

[[nodiscard]] std::string
EncodeHello(const replica_hello& aHello);
[[nodiscard]] std::optional<replica_hello>
DecodeHello(std::string_view aBytes);

/// Message types between primary and replica.
namespace replication {
/// From the primary: its term, and the last record that both logs share.
inline constexpr char kStart = 'S';
/// From the primary: index and bytes of one record.
inline constexpr char kRecord = 'L';
/// From the primary: heartbeat without a record.
inline constexpr char kHeartbeat = 'H';
/// From the replica: the last index stored.
inline constexpr char kStored = 'A';
} // namespace replication

/// Replication stream to one replica of this primary: sends the records that it
/// lacks, then each new one, and heartbeats.
class feed : public std::enable_shared_from_this<feed>
{
public:
  feed(server& aServer, boost::asio::ip::tcp::socket aSocket);

  /// Starts after the last record shared with the replica.
  void Start(const replica_hello& aHello);
  /// Sends the records not yet sent.
  void Pump();
  void Beat();
  void Close();
  /// The last index that the replica reported as stored.
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
