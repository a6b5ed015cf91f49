#ifndef CURRANTSHED_PROXY_BLOCKED_QUEUES_HPP
#define CURRANTSHED_PROXY_BLOCKED_QUEUES_HPP

#include <string>
#include <string_view>

#include <absl/container/inlined_vector.h>

#include "currantshed/proxy/session.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// Dispatch queues of a group that have no usable connection left, collected
/// while connections are assigned to queued requests. Requests for the same
/// servers share a queue: relayed statements for one server, requests that only
/// the primary may serve, and reads that a replica may serve. A queue without a
/// connection blocks only its own requests: while one server has none free, 19
/// VMs that are relayed by this one still reach the other two. Connections
/// belong to customers, so each customer of a queue is blocked separately.
class blocked_queues
{
public:
  /// Whether the session's request would fail to get a connection like earlier
  /// ones in this pass.
  [[nodiscard]] bool IsBlocked(const session& aWaiting) const;

  /// Records that no connection was found for the session's request.
  void Add(const session& aWaiting);

private:
  /// A queue and customer without a connection, and the number of failed
  /// attempts.
  struct blocked_queue
  {
    std::string queue;
    std::string customer;
    /// Relayed reads that replicas could serve: a part of a server's
    /// concurrency limit is not for them.
    bool isReplicable = false;
    unsigned found = 0;
  };

  [[nodiscard]] static std::string_view QueueOf(const session& aWaiting);
  [[nodiscard]] const blocked_queue* Find(const session& aWaiting) const;

  absl::InlinedVector<blocked_queue, 4> mBlocked;
};

} // namespace currantshed::proxy

#endif
