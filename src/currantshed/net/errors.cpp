#include "currantshed/net/errors.hpp"

#include <string>

#include <zmq.h>

namespace currantshed::net {

namespace {

class net_category final : public std::error_category
{
public:
  [[nodiscard]] const char* name() const noexcept override { return "net"; }

  [[nodiscard]] std::string message(int aValue) const override
  {
    switch (static_cast<net_errc>(aValue)) {
      case net_errc::kAddressInUse:
        return "port in use";
      case net_errc::kAddressNotAvailable:
        return "address not usable on this VM";
      case net_errc::kQueueFull:
        return "queue to the peer is full or not connected";
      case net_errc::kUnreachable:
        return "peer has gone";
      case net_errc::kClosed:
        return "socket is closed";
      case net_errc::kSystem:
        return "socket error";
    }
    return "unknown net error";
  }
};

} // namespace

const std::error_category&
NetCategory() noexcept
{
  static const net_category sCategory;
  return sCategory;
}

std::error_code
make_error_code(net_errc aCode) noexcept
{
  return { static_cast<int>(aCode), NetCategory() };
}

net_errc
FromZmqError(int aNumber) noexcept
{
  switch (aNumber) {
    case EADDRINUSE:
      return net_errc::kAddressInUse;
    case EADDRNOTAVAIL:
    case EINVAL:
    case ENODEV:
      return net_errc::kAddressNotAvailable;
    case EAGAIN:
      return net_errc::kQueueFull;
    case EHOSTUNREACH:
      return net_errc::kUnreachable;
    case ENOTSOCK:
    case ETERM:
      return net_errc::kClosed;
    default:
      return net_errc::kSystem;
  }
}

} // namespace currantshed::net
