#ifndef CURRANTSHED_PROXY_BLOCKED_QUEUES_HPP
#define CURRANTSHED_PROXY_BLOCKED_QUEUES_HPP

#include <string>
#include <string_view>

#include <absl/container/inlined_vector.h>

#include "currantshed/proxy/session.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// Which of a group's waiting requests need not be tried any more, while
/// connections are given out. Requests that need the same servers form a lane:
/// statements relayed to one server, those that only the primary may run, and
/// reads for which a replica would do. A lane that found no connection holds up
/// its own requests alone: while one server has none to give, 19 VMs that send
/// their work through this one still reach the other two. Connections belong to
/// customers, so that what one customer lacks another may have.
class blocked_queues
{
public:
  /// Whether the session's request would wait for the same as one that has
  /// just found nothing.
  [[nodiscard]] bool IsBlocked(const session& aWaiting) const;

  /// The session's request has found nothing.
  void Add(const session& aWaiting);

private:
  /// What a lane's requests lack a connection for, and how often that was
  /// found.
  struct blocked_queue
  {
    std::string queue;
    std::string customer;
    unsigned found = 0;
  };

  [[nodiscard]] static std::string_view QueueOf(const session& aWaiting);
  [[nodiscard]] const blocked_queue* Find(const session& aWaiting) const;

  absl::InlinedVector<blocked_queue, 4> mBlocked;
};

} // namespace currantshed::proxy

#endif
