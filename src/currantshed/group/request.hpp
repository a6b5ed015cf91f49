#ifndef CURRANTSHED_GROUP_REQUEST_HPP
#define CURRANTSHED_GROUP_REQUEST_HPP

#include <chrono>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/outcome/verdict.hpp"
#include "currantshed/policy/work_class.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::group {

/// What a request asks of a group.
enum class operation
{
  /// Runs statements that only read, each by itself.
  kRead,
  /// Runs statements in one transaction under an idempotency key.
  kWrite,
  /// Opens a transaction, and may run first statements in it.
  kBegin,
  /// Runs statements in an open transaction.
  kStatement,
  /// Ends an open transaction, keeping its changes under the key given.
  kCommit,
  /// Ends an open transaction, dropping its changes.
  kRollback,
  /// Resolves a key: done if its change is there, else made void.
  kResolve,
  /// Asks whether a position is still confirmed in its own term.
  kReconfirm,
};

/// One request to a group, at the pooler that serves it.
struct request
{
  request_id id = 0;
  operation kind = operation::kRead;
  policy::work_class work;
  std::vector<upstream::statement> statements;
  outcome::idempotency_key key;
  /// The session's position: a read must cover it.
  position::log_position floor;
  /// Asks for a fresh read whatever the class allows.
  bool fresh = false;
  /// On the pooler's clock; a request past it is given up at once.
  clock::time_point deadline;
  /// For statements, commit and rollback: the transaction.
  transaction_id transaction = 0;
  /// For reconfirmation: the position asked about.
  position::log_position position;
};

/// The final answer to one request.
struct answer
{
  request_id request = 0;
  outcome::verdict verdict = outcome::verdict::kUnknown;
  outcome::reason why = outcome::reason::kNone;
  /// When to come back, for what was not run.
  std::chrono::milliseconds retryAfter{ 0 };
  std::vector<upstream::result_set> results;
  /// The confirmed position that the answer shows, for the session's token.
  position::log_position position;
  /// Set by an answer to kBegin.
  transaction_id transaction = 0;
  /// The upstream that ran the statements; empty where none did.
  upstream::server_id servedBy;
  std::string failureDomain;
  /// Whether a replica ran them.
  bool byReplica = false;
  /// Whether the change had been done before under the same key; there are
  /// no rows then.
  bool repeated = false;
  /// The database's word on a statement that it refused.
  std::string sqlState;
  std::string message;
};

} // namespace currantshed::group

#endif
