#ifndef CURRANTSHED_PROXY_REQUEST_HPP
#define CURRANTSHED_PROXY_REQUEST_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <absl/container/inlined_vector.h>

#include "currantshed/admit/deadline_queue.hpp"
#include "currantshed/admit/fair_share.hpp"
#include "currantshed/clock/time.hpp"
#include "currantshed/customer/operation_token.hpp"
#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::proxy {

/// How long a relayed request with this time left until its target may take at
/// a connection holder. The rest is left to a caller that is rejected and
/// retries: 75 ms of a target of 250 ms.
[[nodiscard]] constexpr std::chrono::milliseconds
TimeAtHolder(std::chrono::milliseconds aUntilTarget)
{
  return aUntilTarget * 3 / 10;
}

/// Progress of a request.
enum class stage
{
  /// Waits for a token of its customer's quota.
  kAwaitingToken,
  /// Waits in a dispatch queue for a server connection.
  kQueued,
  /// The session's values are being set on the connection.
  kSessionSetup,
  /// The transaction is being begun on the server.
  kBeginning,
  /// The server runs the caller's statement.
  kRunning,
  /// The server has committed; the answer waits for confirmation that the
  /// server was still the primary.
  kConfirming,
};

/// Minimum log position that a replica must have applied to answer a read.
struct read_floor
{
  /// Empty when only the confirmed primary may answer.
  std::optional<position::log_position> position;
  /// Latest time at which the position was written.
  clock::time_point writtenBy;
};

/// A session's request in progress.
struct request
{
  /// Increases with each request of this process, in the order of arrival.
  std::uint64_t number = 0;
  session_statement statement;
  std::shared_ptr<const route> assignedRoute;
  /// The customer; empty when clients need no key.
  std::string customer;
  bool needsPrimary = false;
  /// Zero is the highest. For a relayed request the requesting VM's.
  unsigned priority = 0;
  /// For a relayed request, if the requesting VM has sent them.
  std::optional<request_attributes> attributes;
  /// Whether success makes a change durable: a single write, or a commit.
  bool commits = false;
  stage progress = stage::kQueued;
  clock::time_point arrivedAt;
  /// When the caller gets an answer at the latest.
  clock::time_point deadline;
  /// Until when it may wait for a token or a connection.
  clock::time_point waitUntil;
  /// Its entry in the dispatch queue, once admitted.
  std::optional<admit::queued_request> queueEntry;
  /// Its charge to its customer's share; null without a customer.
  std::shared_ptr<admit::fair_ticket> fairTicket;
  /// Session setup answers still missing before the next step.
  unsigned awaitedAnswers = 0;
  /// Whether no server is expected to serve the read in time.
  bool unservable = false;
  /// Servers that rejected the request.
  absl::InlinedVector<upstream::server_id, 2> rejectedBy;
  unsigned tries = 0;
  /// Its token of the customer's quota.
  customer::operation_token token;
  /// While it waits for a token: until when it may wait for a connection.
  clock::time_point queueUntil;
  /// Whether a server may have run it in an earlier attempt, in which case no
  /// error may claim that it has not run.
  bool mayHaveRun = false;
  read_floor floor;
  connection* serverConnection = nullptr;
  clock::time_point sentAt;
  /// The server that the request was last sent to.
  upstream::server_id lastServer;
  /// Term in which that server was the primary, as far as known, or zero.
  position::term_id term = 0;
  /// For kConfirming.
  answer heldAnswer;
  clock::time_point committedBy;
};

/// The objective of the request's class in dispatch queues, which falls with
/// the priority.
[[nodiscard]] inline double
ObjectiveOf(const request& aRequest)
{
  return 1.0 / (1.0 + aRequest.priority);
}

} // namespace currantshed::proxy

#endif
