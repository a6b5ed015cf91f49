#ifndef CURRANTSHED_FAILOVER_PRIMARY_REF_HPP
#define CURRANTSHED_FAILOVER_PRIMARY_REF_HPP

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/fwd.hpp"

namespace currantshed::failover {

/// Primary of one term; term zero means none.
struct primary_ref
{
  position::term_id term = 0;
  upstream::server_id server;

  [[nodiscard]] friend bool operator==(const primary_ref&,
                                       const primary_ref&) = default;
};

} // namespace currantshed::failover

#endif
