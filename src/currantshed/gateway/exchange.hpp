#ifndef CURRANTSHED_GATEWAY_EXCHANGE_HPP
#define CURRANTSHED_GATEWAY_EXCHANGE_HPP

#include <memory>
#include <string>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/gateway/caller.hpp"
#include "currantshed/gateway/fwd.hpp"
#include "currantshed/gateway/transaction_handle.hpp"
#include "currantshed/gateway/view.hpp"
#include "currantshed/group/request.hpp"
#include "currantshed/session/position_vector.hpp"

namespace currantshed::gateway {

/// Why an exchange travels back towards its caller.
enum class return_cause
{
  /// A filter produced the response.
  kSettled,
  /// The pooler replied.
  kReply,
  /// The connection to the pooler was lost, or its reply timed out.
  kPoolerLost,
  /// The request could not be sent to the pooler.
  kNotSent,
  /// The deadline has passed.
  kDeadline,
  /// The caller has disconnected.
  kCallerGone,
};

/// State of one request in the filter pipeline.
struct exchange
{
  caller_request request;
  clock::time_point arrived;
  /// Time by which the final response is due.
  clock::time_point deadline;

  /// Positions that the session has seen; set by the verify_token filter.
  session::position_vector seen;

  /// Set by the classify filter.
  std::shared_ptr<const policy::work_class> work;
  group::group_name group;
  outcome::idempotency_key key;
  transaction_handle transaction;

  /// Whether it counts towards the in-flight limit.
  bool admitted = false;

  /// Next operation to request from a pooler.
  group::operation next = group::operation::kRead;
  /// For a reconfirmation, the position to confirm.
  position::log_position positionToConfirm;
  /// Earliest time of the next send.
  clock::time_point notBefore;

  /// Id of the request in flight at a pooler; zero if there is none.
  group::request_id sentAs = 0;
  clock::time_point sentAt;
  /// VM to which it was last sent.
  std::string vm;
  /// VMs that have failed while serving this exchange.
  std::vector<std::string> failedVms;
  /// Time without any reply from the pooler after which the request counts as
  /// lost.
  clock::duration replyTimeout{ 0 };
  /// Whether an operation was sent whose outcome is unknown.
  bool outcomeUnknown = false;

  return_cause returnCause = return_cause::kSettled;
  group::answer reply;
  /// Incarnation of the pooler that replied.
  std::string incarnation;
  /// Reply to a change, held back while its position is being reconfirmed.
  group::answer changeReply;
  /// Operation to which changeReply belongs.
  group::operation changeOperation = group::operation::kWrite;

  caller_answer answer;
  /// Time at which the engine must process it again.
  clock::time_point due;
};

/// Whether the exchange's own request changes data.
[[nodiscard]] inline bool
Changes(const exchange& aExchange) noexcept
{
  const auto kind = aExchange.request.kind;
  const bool write =
    aExchange.work != nullptr && aExchange.work->kind == policy::access::kWrite;
  return kind == call_kind::kCommit ||
         (kind == call_kind::kStatements && write);
}

} // namespace currantshed::gateway

#endif
