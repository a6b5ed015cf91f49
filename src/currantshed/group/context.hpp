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

/// State shared by the requests of one group.
struct context
{
  explicit context(const engine_settings& aSettings);

  engine_settings settings;
  std::unique_ptr<upstream::dialect> dialect;
  confirm::status_tracker tracker;
  admit::retry_budget retries;
  transaction_table transactions;
  /// Last time at which there was a confirmed primary.
  clock::time_point primarySeenAt{};
  /// Maximum time that a transaction may be open.
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

/// Reads one status from a complete reply and adds it to the tracker with the
/// time at which the batch was sent. Returns none if the status is malformed.
[[nodiscard]] std::optional<upstream::server_status>
TakeStatus(context& aContext,
           const dispatch& aDispatch,
           const upstream::reply& aReply,
           std::size_t aIndex);

/// Answer to a request that has not run. Its retry delay depends on the reason
/// and gets a jitter derived from the request's identifier.
[[nodiscard]] answer
NotRun(const request& aRequest, outcome::reason aWhy);

/// Answer to a request that would be refused again.
[[nodiscard]] answer
Refused(const request& aRequest, outcome::reason aWhy);

/// Answer to a change whose outcome is unknown.
[[nodiscard]] answer
Unknown(const request& aRequest, outcome::reason aWhy);

/// Answer to a request with a statement that the database refused.
[[nodiscard]] answer
StatementRefused(const request& aRequest, const upstream::reply& aReply);

/// Answer with the results of the given server.
[[nodiscard]] answer
ServedBy(const request& aRequest,
         const dispatch& aDispatch,
         upstream::server_role aRole);

} // namespace currantshed::group

#endif
