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

/// What sends an exchange back towards its caller.
enum class return_cause
{
  /// A filter has settled the answer.
  kSettled,
  /// The pooler answered.
  kReply,
  /// The pooler was lost, or has been silent for too long.
  kPoolerLost,
  /// The request could not be sent to the pooler.
  kNotSent,
  /// The deadline has come.
  kDeadline,
  /// The caller has gone.
  kCallerGone,
};

/// One request on its way through the filters and back.
struct exchange
{
  caller_request request;
  clock::time_point arrived;
  /// When the final answer is due.
  clock::time_point deadline;

  /// Set by the filter that verifies the token.
  session::position_vector seen;

  /// Set by the filter that classifies.
  std::shared_ptr<const policy::work_class> work;
  group::group_name group;
  outcome::idempotency_key key;
  transaction_handle transaction;

  /// Whether it counts among the requests in flight.
  bool admitted = false;

  /// What to ask of the pooler next.
  group::operation next = group::operation::kRead;
  /// For a reconfirmation, the position asked about.
  position::log_position positionToConfirm;
  /// Nothing is sent before this time.
  clock::time_point notBefore;

  /// Number of the request under way at a pooler; zero while there is none.
  group::request_id sentAs = 0;
  clock::time_point sentAt;
  /// VM that it was last sent to.
  std::string vm;
  /// VMs that were lost on this exchange.
  std::vector<std::string> failedVms;
  /// How long the pooler's silence is borne.
  clock::duration replyTimeout{ 0 };
  /// Whether something was sent whose fate is unknown.
  bool outcomeUnknown = false;

  return_cause returnCause = return_cause::kSettled;
  group::answer reply;
  /// Incarnation of the pooler that replied.
  std::string incarnation;
  /// A change's own answer, while its position is being reconfirmed.
  group::answer changeReply;
  /// The operation that the kept answer belongs to.
  group::operation changeOperation = group::operation::kWrite;

  caller_answer answer;
  /// When the engine must look at it again.
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
