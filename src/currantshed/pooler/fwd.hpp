#ifndef CURRANTSHED_POOLER_FWD_HPP
#define CURRANTSHED_POOLER_FWD_HPP

namespace currantshed::pooler {

class latest_configuration;
class control;
class declared_limits;
class group_monitor;
class group_runner;
class group_monitors;
class latest_listing;
class metrics;
class ownership;
class peer_links;
class platform_link;
class primary_reachability;
class server_channel;
class status_reporter;
class traffic;
class view_publisher;
struct settings;

} // namespace currantshed::pooler

#endif
