#ifndef CURRANTSHED_PROXY_LANES_HPP
#define CURRANTSHED_PROXY_LANES_HPP

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
class blocked_lanes
{
public:
  /// Whether the session's request would wait for the same as one that has
  /// just found nothing.
  [[nodiscard]] bool Holds(const session& aWaiting) const;

  /// The session's request has found nothing.
  void Add(const session& aWaiting);

private:
  /// What a lane's requests lack a connection for, and how often that was
  /// found.
  struct blocked_lane
  {
    std::string lane;
    std::string customer;
    unsigned found = 0;
  };

  [[nodiscard]] static std::string_view LaneOf(const session& aWaiting);
  [[nodiscard]] const blocked_lane* Find(const session& aWaiting) const;

  absl::InlinedVector<blocked_lane, 4> mBlocked;
};

} // namespace currantshed::proxy

#endif
