#ifndef CURRANTSHED_UPSTREAM_RECEIVED_BYTES_HPP
#define CURRANTSHED_UPSTREAM_RECEIVED_BYTES_HPP

#include <cstdint>

namespace currantshed::upstream {

/// Payload bytes that a TCP socket has received since it was opened; zero if
/// the operating system does not report them.
[[nodiscard]] std::uint64_t
ReceivedBytes(int aSocket) noexcept;

} // namespace currantshed::upstream

#endif
