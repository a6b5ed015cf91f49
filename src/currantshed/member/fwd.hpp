#ifndef CURRANTSHED_MEMBER_FWD_HPP
#define CURRANTSHED_MEMBER_FWD_HPP

namespace currantshed::member {

class news_box;
class roster;
struct heartbeat;
struct lost_vm;
struct term_news;

} // namespace currantshed::member

#endif
