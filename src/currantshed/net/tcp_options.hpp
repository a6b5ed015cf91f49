#ifndef CURRANTSHED_NET_TCP_OPTIONS_HPP
#define CURRANTSHED_NET_TCP_OPTIONS_HPP

namespace currantshed::net {

/// Configures a TCP socket to fail within about three seconds after its peer
/// stops responding, whether or not data is in flight, and disables Nagle's
/// algorithm so that small messages are sent at once.
void
SetTcpOptions(int aSocket);

} // namespace currantshed::net

#endif
