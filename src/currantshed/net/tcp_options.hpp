#ifndef CURRANTSHED_NET_TCP_OPTIONS_HPP
#define CURRANTSHED_NET_TCP_OPTIONS_HPP

namespace currantshed::net {

/// Makes a TCP connection end within about three seconds after its far end
/// stops to answer, whether bytes are under way or not, and send small
/// messages at once.
void
SetTcpOptions(int aSocket);

} // namespace currantshed::net

#endif
