#ifndef CURRANTSHED_UPSTREAM_STATUS_HPP
#define CURRANTSHED_UPSTREAM_STATUS_HPP

#include <chrono>
#include <optional>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// The current role of a database server in its group.
enum class server_role
{
  /// Follows a primary and serves reads only.
  kReplica,
  /// Accepts writes and is followed by the replicas.
  kPrimary,
  /// Holds a term that has no primary yet; accepts neither writes nor log
  /// records of a lower term.
  kFenced,
};

/// Status of a server as reported by the server itself in a single answer.
struct server_status
{
  /// The highest term that the server has accepted, by Fence, Promote or
  /// Follow. Never decreases.
  position::term_id term = 0;
  server_role role = server_role::kReplica;
  /// The last log record that the server has stored durably.
  position::log_position stored;
  /// The last log record whose effect is visible to statements on this server.
  position::log_position applied;
  /// For a replica, the time since it last heard from the primary it follows;
  /// none if it follows no primary.
  std::optional<std::chrono::milliseconds> sincePrimary;
};

} // namespace currantshed::upstream

#endif
