#include "currantshed/net/tcp_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace currantshed::net {

namespace {

// Time that sent data may stay unacknowledged, in milliseconds. Below the three
// seconds after which the platform drops dead connections.
constexpr int kUserTimeoutMs = 1500;
// Idle time before the first keepalive probe and between probes, in seconds.
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // Where the operating system lacks an option, the timeout of each call still
  // applies.
  (void)setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
SetTcpOptions(int aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalS);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

} // namespace currantshed::net
