#ifndef CURRANTSHED_MEMBER_FWD_HPP
#define CURRANTSHED_MEMBER_FWD_HPP

namespace currantshed::member {

class gossip_queue;
class membership;
struct heartbeat;
struct lost_vm;
struct term_update;

} // namespace currantshed::member

#endif
