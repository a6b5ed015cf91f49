#include "currantshed/net/tcp_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace currantshed::net {

namespace {

// A far end that took none of the bytes sent for this long, in milliseconds:
// the platform drops dead connections after three seconds.
constexpr int kUserTimeoutMs = 1500;
// Seconds of silence before the first probe, and between probes.
constexpr int kProbeAfterS = 1;
constexpr int kProbes = 2;

void
Set(int aSocket, int aLevel, int aName, int aValue)
{
  // A system that lacks an option falls back on the timeouts of each call.
  (void)setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
SetTcpOptions(int aSocket)
{
  Set(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  Set(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeAfterS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

} // namespace currantshed::net
