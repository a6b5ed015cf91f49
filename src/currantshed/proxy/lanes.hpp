#ifndef CURRANTSHED_PROXY_LANES_HPP
#define CURRANTSHED_PROXY_LANES_HPP

#include <absl/container/inlined_vector.h>

#include "currantshed/proxy/session.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::proxy {

/// Which of a group's waiting requests need not be tried any more, while
/// connections are given out. Requests that need the same servers form a lane:
/// statements relayed to one server, those that only the primary may run, and
/// reads for which a replica would do. A lane that found no connection holds up
/// its own requests alone: while one server has none to give, 19 VMs that send
/// their work through this one still reach the other two.
class blocked_lanes
{
public:
  /// Whether the session's request would wait for the same as one that has
  /// just found nothing.
  [[nodiscard]] bool Holds(const session& aWaiting) const;

  /// The session's request has found nothing.
  void Add(const session& aWaiting);

private:
  bool mPrimary = false;
  unsigned mReads = 0;
  absl::InlinedVector<upstream::server_id, 4> mRelays;
};

} // namespace currantshed::proxy

#endif
