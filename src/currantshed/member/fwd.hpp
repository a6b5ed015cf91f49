#ifndef CURRANTSHED_MEMBER_FWD_HPP
#define CURRANTSHED_MEMBER_FWD_HPP

namespace currantshed::member {

class roster;
struct heartbeat;

} // namespace currantshed::member

#endif
