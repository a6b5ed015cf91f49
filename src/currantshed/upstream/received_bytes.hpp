#ifndef CURRANTSHED_UPSTREAM_RECEIVED_BYTES_HPP
#define CURRANTSHED_UPSTREAM_RECEIVED_BYTES_HPP

#include <cstdint>

namespace currantshed::upstream {

/// Bytes of payload that a TCP socket has received since it was opened; zero
/// where the system doesn't tell.
[[nodiscard]] std::uint64_t
ReceivedBytes(int aSocket) noexcept;

} // namespace currantshed::upstream

#endif
