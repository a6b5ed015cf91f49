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

/// Type of a request to a group.
enum class operation
{
  /// Runs read-only statements, each on its own.
  kRead,
  /// Runs statements in one transaction under an idempotency key.
  kWrite,
  /// Opens a transaction, and may run first statements in it.
  kBegin,
  /// Runs statements in an open transaction.
  kStatement,
  /// Commits an open transaction under the given idempotency key.
  kCommit,
  /// Rolls an open transaction back.
  kRollback,
  /// Determines the outcome of a key: done if its change was applied, otherwise
  /// the key is voided.
  kResolve,
  /// Checks whether a position is still confirmed in its own term.
  kReconfirm,
};

/// Request to a group, at the pooler that serves it.
struct request
{
  request_id id = 0;
  operation kind = operation::kRead;
  policy::work_class work;
  std::vector<upstream::statement> statements;
  outcome::idempotency_key key;
  /// Position of the session; a read must cover it.
  position::log_position floor;
  /// Requires a fresh read regardless of the class of work.
  bool fresh = false;
  /// On the pooler's clock; a request is not processed any further after it.
  clock::time_point deadline;
  /// For statements, commit and rollback: the open transaction.
  transaction_id transaction = 0;
  /// For kReconfirm: the position to check.
  position::log_position position;
};

/// Final answer to one request.
struct answer
{
  request_id request = 0;
  outcome::verdict verdict = outcome::verdict::kUnknown;
  outcome::reason why = outcome::reason::kNone;
  /// How long the caller should wait before a retry, for requests that did not
  /// run.
  std::chrono::milliseconds retryAfter{ 0 };
  std::vector<upstream::result_set> results;
  /// Confirmed position that the answer reflects, for the session token.
  position::log_position position;
  /// Set by an answer to kBegin.
  transaction_id transaction = 0;
  /// Upstream that ran the statements; empty if none did.
  upstream::server_id servedBy;
  std::string failureDomain;
  /// Whether that upstream is a replica.
  bool byReplica = false;
  /// Whether the change had already been applied under the same key; the answer
  /// has no rows then.
  bool repeated = false;
  /// Error of the database for a statement that it refused.
  std::string sqlState;
  std::string message;
};

} // namespace currantshed::group

#endif
