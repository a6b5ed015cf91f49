#include "currantshed/upstream/received_bytes.hpp"

// The C library's netinet/tcp.h declares a shorter tcp_info, and cannot be
// included together with linux/tcp.h.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace currantshed::upstream {

std::uint64_t
ReceivedBytes(int aSocket) noexcept
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  return info.tcpi_bytes_received;
}

} // namespace currantshed::upstream
