#ifndef CURRANTSHED_NET_ERRORS_HPP
#define CURRANTSHED_NET_ERRORS_HPP

#include <system_error>

#include "currantshed/net/fwd.hpp"

namespace currantshed::net {

/// Errors of sockets between the processes of this system.
enum class net_errc
{
  /// The port is in use by another process.
  kAddressInUse = 1,
  /// The address is invalid or does not belong to this VM.
  kAddressNotAvailable,
  /// The send queue to the peer is full, or there is no connection; the message
  /// was not queued.
  kQueueFull,
  /// The peer is not connected.
  kUnreachable,
  /// The socket is closed.
  kClosed,
  /// Any other ZeroMQ error.
  kSystem,
};

[[nodiscard]] const std::error_category&
NetCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(net_errc aCode) noexcept;

/// Maps a ZeroMQ error number to a net_errc. Unknown numbers map to kSystem.
[[nodiscard]] net_errc
FromZmqError(int aNumber) noexcept;

} // namespace currantshed::net

template<>
struct std::is_error_code_enum<currantshed::net::net_errc> : std::true_type
{
};

#endif
