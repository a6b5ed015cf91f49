#ifndef CURRANTSHED_PROXY_REQUEST_HPP
#define CURRANTSHED_PROXY_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <optional>

#include <absl/container/inlined_vector.h>

#include "currantshed/admit/deadline_queue.hpp"
#include "currantshed/clock/time.hpp"
#include "currantshed/proxy/configuration.hpp"
#include "currantshed/proxy/statement.hpp"

namespace currantshed::proxy {

/// How far a request has come.
enum class stage
{
  /// Waits for leave to begin within its customer's quota.
  kAwaitingToken,
  /// Waits for a server connection.
  kQueued,
  /// The session's values are being brought to the connection.
  kSessionSetup,
  /// The transaction is being begun at the server.
  kBeginning,
  /// The server has the caller's statement.
  kRunning,
  /// The server has committed; whether it still led then is not known yet.
  kConfirming,
};

/// Bounds on the answer that a request may get from a replica.
struct read_floor
{
  /// None: only the confirmed primary will do.
  std::optional<position::log_position> position;
  /// When the position was written, at the latest.
  clock::time_point writtenBy;
};

/// A session's request under way.
struct request
{
  /// Goes up with each request of this process: the order of arrival.
  std::uint64_t number = 0;
  session_statement asked;
  std::shared_ptr<const route> assignedRoute;
  /// Whose it is; empty where customers are not told apart.
  std::string customer;
  bool needsPrimary = false;
  /// Whether a success makes a change last: a single write, or a commit.
  bool commits = false;
  stage at = stage::kQueued;
  clock::time_point arrivedAt;
  /// When the caller gets an answer in any case.
  clock::time_point deadline;
  /// Until when it may wait for a connection.
  clock::time_point waitUntil;
  /// Its place in the queue, once it was given one.
  std::optional<admit::waiting> queueEntry;
  /// Answers of the connection before the next step.
  unsigned awaitedAnswers = 0;
  /// Servers tried so far that turned the request away.
  absl::InlinedVector<upstream::server_id, 2> refusedBy;
  unsigned tries = 0;
  /// Whether a server may have run it at an earlier try, so that no refusal may
  /// say that it has not run.
  bool mayHaveRun = false;
  read_floor floor;
  connection* serverConnection = nullptr;
  clock::time_point sentAt;
  /// The server that got it last.
  upstream::server_id lastServer;
  /// The term in which that server was taken for the primary, or zero.
  position::term_id term = 0;
  /// For kConfirming.
  answer held;
  clock::time_point committedBy;
};

} // namespace currantshed::proxy

#endif
