#ifndef CURRANTSHED_CTL_GATEWAY_PORT_HPP
#define CURRANTSHED_CTL_GATEWAY_PORT_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::ctl {

/// Where the gateways' status ports are: the platform's list only names those
/// of the poolers.
struct gateway_port
{
  /// The same port on every VM; or what to add to the pooler's status port.
  std::uint16_t number = 0;
  bool isOffset = false;
};

/// Reads a port, as 24002, or an offset, as +1; none for any other text.
[[nodiscard]] std::optional<gateway_port>
ParseGatewayPort(const std::string& aText);

/// The status port of a VM's gateway.
[[nodiscard]] std::uint16_t
GatewayPortOf(const store::vm& aVm, const gateway_port& aPort);

} // namespace currantshed::ctl

#endif
