#ifndef CURRANTSHED_NET_ERRORS_HPP
#define CURRANTSHED_NET_ERRORS_HPP

#include <system_error>

#include "currantshed/net/fwd.hpp"

namespace currantshed::net {

/// What can go wrong with a socket between the system's own processes.
enum class net_errc
{
  /// The port is taken by another process.
  kAddressInUse = 1,
  /// The address is none of this VM, or none at all.
  kAddressNotAvailable,
  /// The queue to the peer is full, or no connection stands; the message was
  /// not taken.
  kQueueFull,
  /// The peer has gone.
  kUnreachable,
  /// The socket is closed.
  kClosed,
  /// Any other error of the library.
  kSystem,
};

/// The category of net_errc.
[[nodiscard]] const std::error_category&
NetCategory() noexcept;

[[nodiscard]] std::error_code
make_error_code(net_errc aCode) noexcept;

/// The whole mapping from ZeroMQ's error numbers.
[[nodiscard]] net_errc
FromZmqError(int aNumber) noexcept;

} // namespace currantshed::net

template<>
struct std::is_error_code_enum<currantshed::net::net_errc> : std::true_type
{
};

#endif
