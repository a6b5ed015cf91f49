#ifndef CURRANTSHED_STANDIN_UPSTREAM_SETTINGS_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace currantshed::standin::postgres {

/// Settings of one server.
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
  /// How long a statement holds its slot.
  std::chrono::microseconds serviceTime{ 0 };
  /// One-way delay of each answer and each replication message.
  std::chrono::microseconds linkDelay{ 0 };
  /// Time without a statement after which an open transaction is ended.
  std::chrono::milliseconds transactionIdle{ 15000 };
  /// Servers of the group as a comma-separated list of `id=address:port`.
  std::string peers;
  /// The server that starts as primary of term 1.
  std::string firstPrimary;
  /// An SQL file, which becomes the first record of the first primary's log.
  std::string schemaFile;
  /// File that stores term and log; nothing is stored if empty.
  std::string dataFile;
};

} // namespace currantshed::standin::postgres

#endif
