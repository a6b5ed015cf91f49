#ifndef CURRANTSHED_GATEWAY_CALLER_HPP
#define CURRANTSHED_GATEWAY_CALLER_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "currantshed/gateway/fwd.hpp"
#include "currantshed/group/fwd.hpp"
#include "currantshed/outcome/idempotency_key.hpp"
#include "currantshed/outcome/verdict.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::gateway {

/// The calls that a gateway takes.
enum class call_kind
{
  /// Statements of one class, by themselves or in one transaction.
  kStatements,
  /// Opens a transaction.
  kBegin,
  /// Statements in an open transaction.
  kStatement,
  kCommit,
  kRollback,
  /// Asks what became of a change.
  kOutcome,
};

/// One request as its caller sent it, nothing of it checked but its form.
struct caller_request
{
  request_number number = 0;
  call_kind kind = call_kind::kStatements;
  std::string workClass;
  group::group_name group;
  std::vector<upstream::statement> statements;
  /// The session's token; none at all asks for fresh reads.
  std::optional<std::string> session;
  /// The caller's idempotency key, or empty.
  std::string key;
  /// The caller's own deadline.
  std::optional<std::chrono::milliseconds> deadline;
  /// Id of an open transaction, or empty.
  std::string transaction;
  /// A key made for this request, used for a change that comes without one.
  outcome::idempotency_key generatedKey;
};

/// The final answer to one caller's request.
struct caller_answer
{
  request_number number = 0;
  outcome::verdict verdict = outcome::verdict::kUnknown;
  outcome::reason why = outcome::reason::kNone;
  /// What is wrong with the request in itself; goes before the reason.
  std::error_code fault;
  /// For a person.
  std::string message;
  std::vector<upstream::result_set> results;
  group::group_name group;
  upstream::server_id servedBy;
  std::string failureDomain;
  bool byReplica = false;
  /// The key of the change; empty for what changes nothing.
  outcome::idempotency_key key;
  /// Whether the change had been made before under the same key.
  bool repeated = false;
  /// Id of the transaction that was opened.
  std::string transaction;
  std::string sqlState;
  /// When to come back, for what was not run.
  std::chrono::milliseconds retryAfter{ 0 };
  /// Path that tells the outcome, for a change of unknown fate.
  std::string outcomePath;
  /// The session's new token.
  std::string session;
};

/// An answer that refuses a request for what is wrong with it.
[[nodiscard]] caller_answer
Refuse(gateway_error aError);

/// An answer that says that a request has not run, and when to come back.
[[nodiscard]] caller_answer
NotRun(outcome::reason aWhy, std::chrono::milliseconds aRetryAfter);

/// The path that tells what became of a change.
[[nodiscard]] std::string
OutcomePath(std::string_view aGroup, const outcome::idempotency_key& aKey);

} // namespace currantshed::gateway

#endif
