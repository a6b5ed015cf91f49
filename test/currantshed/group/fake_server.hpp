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

/// Record of a fake server's log: a committed transaction.
struct fake_record
{
  position::term_id term = 0;
  /// Values that the transaction added, in the order of its statements.
  std::vector<std::string> values;
  /// Key of the recorded outcome; empty for a record that opens a term or
  /// records no outcome.
  std::string key;
  std::string state;
  std::string digest;
};

/// Open transaction on a connection.
struct fake_transaction
{
  bool readOnly = false;
  bool failed = false;
  bool changed = false;
  position::term_id term = 0;
  fake_record record;
  /// For a read-only transaction, the number of log records that it sees.
  std::optional<std::size_t> visibleRecords;
};

/// In-memory server: its log, term, role and injected faults.
struct fake_server
{
  position::term_id term = 1;
  upstream::server_role role = upstream::server_role::kReplica;
  std::vector<fake_record> log;
  /// The primary that it follows, if it is a replica.
  upstream::server_id following;
  /// Number of log records visible to statements.
  std::size_t applied = 0;
  /// Whether all messages to and from it are lost.
  bool cut = false;
  /// Whether only replicated records to and from it are lost.
  bool isolated = false;
  /// Whether it accepts messages but processes none until thawed.
  bool frozen = false;
  /// Whether it refuses connections.
  bool refusing = false;
  /// Whether it accepts no records from its primary.
  bool lagging = false;
  /// Whether it stores records without applying them.
  bool applyPaused = false;
  /// Tears the answer to the next batch of a caller, after its effect.
  bool tearNextReply = false;
  /// Drops the next batch of a caller before its effect, and tears the answer.
  bool tearNextBatch = false;
  /// An indeterminate answer also reports that it was too large.
  bool oversize = false;
  /// Callers' statements that it received.
  std::vector<std::string> executed;
  /// Batches that wait while it is frozen.
  std::vector<std::function<void()>> pendingBatches;
  unsigned connections = 0;
  unsigned maxConnections = 0;
  unsigned running = 0;
  unsigned maxRunning = 0;

  [[nodiscard]] position::log_position Stored() const;
  [[nodiscard]] position::log_position Applied() const;
  [[nodiscard]] upstream::server_status Status() const;
};

/// Connection to a fake server.
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

/// Whether a batch contains statements of a caller, besides status queries.
[[nodiscard]] bool
IsCallersBatch(const std::vector<upstream::statement>& aStatements);

} // namespace currantshed::test

#endif
