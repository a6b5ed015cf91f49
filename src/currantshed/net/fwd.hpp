#ifndef CURRANTSHED_NET_FWD_HPP
#define CURRANTSHED_NET_FWD_HPP

namespace currantshed::net {

class dealer;
class router;
class tick_timer;
class zmq_socket;
enum class net_errc;
struct socket_settings;

} // namespace currantshed::net

#endif
