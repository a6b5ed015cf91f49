#ifndef CURRANTSHED_FAILOVER_FWD_HPP
#define CURRANTSHED_FAILOVER_FWD_HPP

namespace currantshed::failover {

class coordinator;
class detector;
class follower_repair;
class promoter;
class server_monitor;
class term_reservations;
struct primary_ref;
struct suspicion;
struct term_record;

} // namespace currantshed::failover

#endif
