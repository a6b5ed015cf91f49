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

/// What a caller asks of its session.
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
  /// Clears session values and prepared statements; between VMs only.
  kReset,
  /// How a server stands in its group; between VMs only.
  kReport,
};

/// One request of a caller in its session.
struct session_statement
{
  /// The caller's own name for the request; handed on unchanged.
  std::string id;
  statement_kind kind = statement_kind::kRead;
  /// The whole text, handed on unchanged where a server runs it.
  std::string text;
  /// Name of the session value, or of the prepared statement.
  std::string name;
  /// The session value, the shape of what is prepared, or the arguments of
  /// what is executed.
  std::string argument;
  /// For kPrepare: whether what is prepared writes.
  bool writes = false;
  /// The log must have this position; between VMs only.
  std::optional<position::log_position> floor;
  /// Whose request it is; between VMs only.
  std::string customer;
};

/// Why a request has no result. The first group promises that nothing of the
/// caller's attempt is kept.
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
  /// No customer holds the caller's key.
  kNotAuthorized,
  /// A code that this version does not know; the text has it.
  kOther,
};

/// The code as one word for logs and counters.
[[nodiscard]] std::string_view
NameOf(failure_code aCode);

struct failure
{
  failure_code code = failure_code::kOther;
  std::string text;
};

/// Where a session stands after an answer.
enum class transaction_state
{
  kIdle,
  kOpen,
  /// The transaction failed; all but its end is refused.
  kFailed,
};

/// What a server says about itself and its group.
struct server_report
{
  bool isPrimary = false;
  /// The term of its log.
  position::term_id term = 0;
  /// The end of the log that it has received.
  position::log_position received;
  /// The term at which it is fenced; zero when it is not.
  position::term_id fencedAt = 0;
  /// How far it lags behind, as it sees it.
  std::chrono::milliseconds lag{ 0 };
  /// Statements that it runs at the moment.
  unsigned busy = 0;
  /// Connections from all callers.
  unsigned connections = 0;

  [[nodiscard]] friend bool operator==(const server_report&,
                                       const server_report&) = default;
};

/// The answer to one request.
struct answer
{
  std::vector<std::string> rows;
  /// The server's proof that it ran the statement, or a dash where no server
  /// was asked.
  std::string signature;
  std::optional<failure> failed;
  transaction_state state = transaction_state::kIdle;
  /// Where the server's log stood.
  std::optional<position::log_position> position;
  /// For kReport, kFence, kUnfence and kDemote.
  std::optional<server_report> report;
};

/// What a server is asked.
enum class command_kind
{
  /// A caller's text, unchanged.
  kVerbatim,
  kBegin,
  kBeginReadOnly,
  kRollback,
  /// Clears session values and prepared statements.
  kReset,
  kSet,
  kPrepare,
  kExecute,
  /// How the server stands in its group.
  kReport,
  /// Stop receiving from a primary below the term.
  kFence,
  /// Receive again.
  kUnfence,
  /// A primary below the term becomes a replica.
  kDemote,
};

/// One request to a server.
struct command
{
  command_kind kind = command_kind::kVerbatim;
  /// The caller's id; empty for what the system itself asks.
  std::string id;
  /// The server refuses to run the command on a log that lacks this position.
  std::optional<position::log_position> floor;
  /// For kVerbatim.
  std::string text;
  /// For kSet, kPrepare and kExecute.
  std::string name;
  /// The value, the shape, or the arguments.
  std::string argument;
  /// For kPrepare.
  bool writes = false;
  /// For kFence and kDemote.
  position::term_id term = 0;
  /// Whose request it is: told to other VMs, on whose connections to servers
  /// it runs.
  std::string customer;
};

} // namespace currantshed::proxy

#endif
