#ifndef CURRANTSHED_POOLER_FWD_HPP
#define CURRANTSHED_POOLER_FWD_HPP

namespace currantshed::pooler {

class configuration_keeper;
class control;
class declared_limits;
class group_guard;
class group_runner;
class guard_set;
class listing_keeper;
class metrics;
class ownership;
class peer_links;
class platform_link;
class primary_reach;
class server_channel;
class status_board;
class traffic;
class view_publisher;
struct settings;

} // namespace currantshed::pooler

#endif
