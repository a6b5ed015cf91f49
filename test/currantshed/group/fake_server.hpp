#ifndef CURRANTSHED_TEST_GROUP_FAKE_SERVER_HPP
#define CURRANTSHED_TEST_GROUP_FAKE_SERVER_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/dialect.hpp"
#include "currantshed/upstream/statement.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::test {

/// One record of a fake server's log: a committed transaction.
struct fake_record
{
  position::term_id term = 0;
  /// Values that the transaction added, in the order of its statements.
  std::vector<std::string> values;
  /// Key of the outcome that it recorded; empty for a record that opens a
  /// term or that notes nothing.
  std::string key;
  std::string state;
  std::string digest;
};

/// An open transaction on one connection.
struct fake_transaction
{
  bool readOnly = false;
  bool failed = false;
  bool changed = false;
  position::term_id term = 0;
  fake_record record;
  /// For a read-only one, how much of the log it sees.
  std::optional<std::size_t> sees;
};

/// A server in memory: its log, its term and role, and faults to order.
struct fake_server
{
  position::term_id term = 1;
  upstream::server_role role = upstream::server_role::kReplica;
  std::vector<fake_record> log;
  /// The primary that it follows, if it is a replica.
  upstream::server_id following;
  /// How many records of the log statements see.
  std::size_t applied = 0;
  /// Whether messages to and from it are lost.
  bool cut = false;
  /// Whether records to and from it are lost, and nothing else.
  bool isolated = false;
  /// Whether it takes messages but does nothing until thawed.
  bool frozen = false;
  /// Whether it refuses connections.
  bool refusing = false;
  /// Whether it takes no records from its primary.
  bool lagging = false;
  /// Whether it stores records but doesn't show them.
  bool applyPaused = false;
  /// Tears the answer to the next batch of callers, after its effect.
  bool tearNextReply = false;
  /// Drops the next batch of callers before its effect, and tears the answer.
  bool tearNextBatch = false;
  /// A torn answer also says that it was too large.
  bool oversize = false;
  /// Statements that it was sent by callers, for checks of who ran what.
  std::vector<std::string> ran;
  /// Batches that waited while it was frozen.
  std::vector<std::function<void()>> held;
  unsigned connections = 0;
  unsigned mostConnections = 0;
  unsigned running = 0;
  unsigned mostRunning = 0;

  [[nodiscard]] position::log_position Stored() const;
  [[nodiscard]] position::log_position Applied() const;
  [[nodiscard]] upstream::server_status Status() const;
};

/// One connection to a fake server.
struct fake_connection
{
  upstream::server_id server;
  bool open = false;
  bool readOnly = false;
  std::optional<fake_transaction> transaction;
};

/// Runs a batch on a server: the statements of the dialect and the callers'
/// `add VALUE`, `list` and `fail`.
[[nodiscard]] upstream::reply
RunOn(fake_server& aServer,
      fake_connection& aConnection,
      const std::vector<upstream::statement>& aStatements);

/// Whether a batch does something for a caller, beside asking for a status.
[[nodiscard]] bool
IsCallersBatch(const std::vector<upstream::statement>& aStatements);

} // namespace currantshed::test

#endif
