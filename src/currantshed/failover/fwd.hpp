#ifndef CURRANTSHED_FAILOVER_FWD_HPP
#define CURRANTSHED_FAILOVER_FWD_HPP

namespace currantshed::failover {

class coordinator;
struct suspicion;

} // namespace currantshed::failover

#endif
