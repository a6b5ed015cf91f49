#ifndef CURRANTSHED_CTL_GATEWAY_PORT_HPP
#define CURRANTSHED_CTL_GATEWAY_PORT_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "currantshed/ctl/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::ctl {

/// Status port of the gateways. The platform's list contains only the poolers'
/// status ports.
struct gateway_port
{
  /// The port on every VM, or the offset from the pooler's status port.
  std::uint16_t number = 0;
  bool isOffset = false;
};

/// Parses a port such as 24002 or an offset such as +1; nullopt for any other
/// text.
[[nodiscard]] std::optional<gateway_port>
ParseGatewayPort(const std::string& aText);

/// Returns the status port of a VM's gateway.
[[nodiscard]] std::uint16_t
GatewayPortOf(const store::vm& aVm, const gateway_port& aPort);

} // namespace currantshed::ctl

#endif
