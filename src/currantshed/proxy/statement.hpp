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
  /// Not a valid statement. It is answered in its turn, so that the answer is
  /// not taken for that of a statement before it.
  kInvalid,
};

/// What a VM tells a relay about a request, so that the relay can queue it by
/// its class, deadline and customer. Times are remaining times, since the
/// clocks of two VMs are not comparable.
struct request_attributes
{
  /// Priority of the route; zero is the highest.
  unsigned priority = 0;
  /// Time left until the latency target, counted from the arrival of the
  /// operation; zero or negative once it has been missed.
  std::chrono::milliseconds untilTarget{ 0 };
  /// Time left until the caller gets an answer at the latest.
  std::chrono::milliseconds untilDeadline{ 0 };
  /// Earlier attempts of the request at servers.
  unsigned tries = 0;
  /// Whether only the primary can run it.
  bool needsPrimary = false;

  [[nodiscard]] friend bool operator==(const request_attributes&,
                                       const request_attributes&) = default;
};

/// Load of one server as observed by a VM that holds connections to it. Sent
/// back with the answer to a relayed request that carried attributes.
struct server_load
{
  /// Expected time in the queue of a request that arrives now.
  std::chrono::milliseconds expectedWait{ 0 };
  /// Requests that wait at this connection holder.
  unsigned queued = 0;
  /// Statements that this connection holder has running on the server.
  unsigned running = 0;
  /// Thousandths of this holder's recent statements that the server rejected,
  /// failed or lost.
  unsigned failurePermille = 0;
  /// Estimated replication lag.
  std::chrono::milliseconds lag{ 0 };

  [[nodiscard]] friend bool operator==(const server_load&,
                                       const server_load&) = default;
};

/// One request in a caller's session.
struct session_statement
{
  /// Request id chosen by the caller; passed on unchanged.
  std::string id;
  statement_kind kind = statement_kind::kRead;
  /// The full text; passed on unchanged when a server runs it. For kInvalid:
  /// why it is rejected.
  std::string text;
  /// Name of the session value or prepared statement.
  std::string name;
  /// The session value, the text to prepare, or the arguments to execute with;
  /// none if nothing follows the name, which is not the same text as an empty
  /// argument.
  std::optional<std::string> argument;
  /// For kPrepare: whether the prepared statement writes.
  bool writes = false;
  /// Minimum log position of the server; sent between VMs only.
  std::optional<position::log_position> floor;
  /// The customer; sent between VMs only.
  std::string customer;
  /// Sent between VMs only; empty if the requesting VM sends none.
  std::optional<request_attributes> attributes;
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

/// Text of the BUSY failure with which a connection holder answers a relayed
/// request that it could not send, since it can't reach the server.
inline constexpr std::string_view kServerUnreachable = "server_unreachable";

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
  /// Load of the server, if the answer came through a relay that reports it.
  std::optional<server_load> load;
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
  /// The value, the text to prepare, or the arguments; none if the caller gave
  /// none.
  std::optional<std::string> argument;
  /// For kPrepare.
  bool writes = false;
  /// For kFence and kDemote.
  position::term_id term = 0;
  /// The customer; told to a relay, which runs the command on its own
  /// connection.
  std::string customer;
  /// Told to a relay that reads attributes; ignored on a direct connection.
  std::optional<request_attributes> attributes;
};

} // namespace currantshed::proxy

#endif
