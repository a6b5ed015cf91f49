#ifndef CURRANTSHED_PROXY_STATEMENT_HPP
#define CURRANTSHED_PROXY_STATEMENT_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/position/log_position.hpp"
#include "currantshed/proxy/fwd.hpp"

namespace currantshed::proxy {

/// Kind of a caller's request.
enum class statement_kind
{
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  /// Clears session values and prepared statements; sent between VMs only.
  kReset,
  /// Queries the server's state in its group; sent between VMs only.
  kReport,
};

/// One request in a caller's session.
struct session_statement
{
  /// Request id chosen by the caller; passed on unchanged.
  std::string id;
  statement_kind kind = statement_kind::kRead;
  /// The full text; passed on unchanged when a server runs it.
  std::string text;
  /// Name of the session value or prepared statement.
  std::string name;
  /// The session value, the text to prepare, or the arguments to execute with.
  std::string argument;
  /// For kPrepare: whether the prepared statement writes.
  bool writes = false;
  /// Minimum log position of the server; sent between VMs only.
  std::optional<position::log_position> floor;
  /// The customer; sent between VMs only.
  std::string customer;
};

/// Why a request failed. The codes of the first group guarantee that the
/// request had no effect.
enum class failure_code
{
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMisrouted,
  kTooManyConnections,

  kInDoubt,
  kTimeout,
  kFailed,
  kMalformed,
  kNoDatabase,
  kNoStatement,
  /// No customer has the caller's key.
  kNotAuthorized,
  /// A code unknown to this version; the text contains it.
  kOther,
};

/// Name of the code in logs and metrics.
[[nodiscard]] std::string_view
NameOf(failure_code aCode);

struct failure
{
  failure_code code = failure_code::kOther;
  std::string text;
};

/// Transaction state of a session after an answer.
enum class transaction_state
{
  kIdle,
  kOpen,
  /// The transaction has failed; only commit and rollback are accepted.
  kFailed,
};

/// State of a server and its replication, as reported by itself.
struct server_report
{
  bool isPrimary = false;
  /// Current term of its log.
  position::term_id term = 0;
  /// End of the log received so far.
  position::log_position received;
  /// Term at which it is fenced; zero when it is not.
  position::term_id fencedAt = 0;
  /// Its own estimate of its replication lag.
  std::chrono::milliseconds lag{ 0 };
  /// Statements that it is running.
  unsigned busy = 0;
  /// Connections from all clients.
  unsigned connections = 0;

  [[nodiscard]] friend bool operator==(const server_report&,
                                       const server_report&) = default;
};

/// Answer to one request.
struct answer
{
  std::vector<std::string> rows;
  /// Proof that the server ran the statement, or "-" when no server was
  /// involved.
  std::string signature;
  std::optional<failure> failed;
  transaction_state state = transaction_state::kIdle;
  /// Log position of the server at the time of the answer.
  std::optional<position::log_position> position;
  /// For kReport, kFence, kUnfence and kDemote.
  std::optional<server_report> report;
};

/// Kind of a request to a server.
enum class command_kind
{
  /// The caller's text, unchanged.
  kVerbatim,
  kBegin,
  kBeginReadOnly,
  kRollback,
  /// Clears session values and prepared statements.
  kReset,
  kSet,
  kPrepare,
  kExecute,
  /// Queries the server's state in its group.
  kReport,
  /// Stops replication from primaries below the term.
  kFence,
  /// Resumes replication.
  kUnfence,
  /// Turns a primary below the term into a replica.
  kDemote,
};

/// One request to a server.
struct command
{
  command_kind kind = command_kind::kVerbatim;
  /// The caller's request id; empty for requests of the system itself.
  std::string id;
  /// Minimum log position: the server rejects the command when its log lacks
  /// this position.
  std::optional<position::log_position> floor;
  /// For kVerbatim.
  std::string text;
  /// For kSet, kPrepare and kExecute.
  std::string name;
  /// The value, the text to prepare, or the arguments.
  std::string argument;
  /// For kPrepare.
  bool writes = false;
  /// For kFence and kDemote.
  position::term_id term = 0;
  /// The customer; told to a relay, which runs the command on its own
  /// connection.
  std::string customer;
};

} // namespace currantshed::proxy

#endif
