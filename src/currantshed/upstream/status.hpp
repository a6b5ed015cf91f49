#ifndef CURRANTSHED_UPSTREAM_STATUS_HPP
#define CURRANTSHED_UPSTREAM_STATUS_HPP

#include <chrono>
#include <optional>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::upstream {

/// What a database server does in its group at the moment.
enum class server_role
{
  /// Follows a primary, and serves reads only.
  kReplica,
  /// Takes writes, and is followed by the others.
  kPrimary,
  /// Holds a term that has no primary yet; takes neither writes nor log
  /// records of a lower term.
  kFenced,
};

/// A server's own word about itself, as one answer to one question.
struct server_status
{
  /// The highest term that the server has accepted, by fence, promotion or
  /// following. It never goes down.
  position::term_id term = 0;
  server_role role = server_role::kReplica;
  /// The last record of the log that the server has stored durably.
  position::log_position stored;
  /// The last record whose effect a statement on this server sees.
  position::log_position applied;
  /// For a replica, the time since it last heard from the primary that it
  /// follows; none when it follows no primary.
  std::optional<std::chrono::milliseconds> sincePrimary;
};

} // namespace currantshed::upstream

#endif
