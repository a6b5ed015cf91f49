#ifndef CURRANTSHED_STANDIN_UPSTREAM_SETTINGS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace currantshed::standin::postgres {

/// How one server is set up.
struct server_settings
{
  std::string id;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::uint16_t controlPort = 0;
  std::string group = "group";
  unsigned slots = 2;
  unsigned connections = 16;
  std::chrono::milliseconds connectDelay{ 0 };
  /// How long a statement keeps its slot.
  std::chrono::microseconds serviceTime{ 0 };
  /// Delay of each answer and each message of replication, one way.
  std::chrono::microseconds linkDelay{ 0 };
  /// After this long without a statement an open transaction is ended.
  std::chrono::milliseconds transactionIdle{ 15000 };
  /// `id=address:port` of the servers of the group, with commas between.
  std::string peers;
  /// The server that starts as primary of term 1.
  std::string firstPrimary;
  /// A file of SQL, the first record of the first primary's log.
  std::string schemaFile;
  /// Where term and log are kept; nowhere when empty.
  std::string dataFile;
};

} // namespace currantshed::standin::postgres

#endif
