#ifndef CURRANTSHED_GROUP_CONTEXT_HPP
#define CURRANTSHED_GROUP_CONTEXT_HPP

#include <chrono>
#include <memory>
#include <optional>

#include "currantshed/admit/retry_budget.hpp"
#include "currantshed/clock/time.hpp"
#include "currantshed/confirm/status_tracker.hpp"
#include "currantshed/group/engine.hpp"
#include "currantshed/group/transaction_table.hpp"
#include "currantshed/outcome/verdict.hpp"
#include "currantshed/upstream/dialect.hpp"

namespace currantshed::group {

/// What the requests of one group share.
struct context
{
  explicit context(const engine_settings& aSettings);

  engine_settings settings;
  std::unique_ptr<upstream::dialect> dialect;
  confirm::status_tracker tracker;
  admit::retry_budget retries;
  transaction_table transactions;
  /// When there last was a confirmed primary.
  clock::time_point primarySeenAt{};
  /// How long a transaction may be open in all.
  std::chrono::milliseconds transactionLimit{ 30000 };
};

/// Where and when a batch was sent.
struct dispatch
{
  connection_id connection = 0;
  upstream::server_id server;
  std::string failureDomain;
  clock::time_point sentAt;
};

/// Reads one status out of a complete reply and notes it on the board, dated
/// by when the batch was sent. None when it isn't in the expected form.
[[nodiscard]] std::optional<upstream::server_status>
TakeStatus(context& aContext,
           const dispatch& aDispatch,
           const upstream::reply& aReply,
           std::size_t aIndex);

/// The answer to a request that has not run, with a time to come back that
/// fits the reason, spread by the request's number.
[[nodiscard]] answer
NotRun(const request& aRequest, outcome::reason aWhy);

/// The answer to a request that would be refused again.
[[nodiscard]] answer
Refused(const request& aRequest, outcome::reason aWhy);

/// The answer to a change of which it isn't known whether it ran.
[[nodiscard]] answer
Unknown(const request& aRequest, outcome::reason aWhy);

/// The answer to a request whose statement the database refused.
[[nodiscard]] answer
StatementRefused(const request& aRequest, const upstream::reply& aReply);

/// An answer that the given server made.
[[nodiscard]] answer
ServedBy(const request& aRequest,
         const dispatch& aDispatch,
         upstream::server_role aRole);

} // namespace currantshed::group

#endif
