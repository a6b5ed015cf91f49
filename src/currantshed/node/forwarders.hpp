#ifndef CURRANTSHED_NODE_FORWARDERS_HPP
#define CURRANTSHED_NODE_FORWARDERS_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/node/cluster_state.hpp"

namespace currantshed::node {

/// Minimum number of VMs in a failure domain with forwarders. With fewer VMs
/// most of them would be forwarders.
constexpr std::size_t kMinVmsForForwarders = 5;

/// Selects the VMs of a failure domain that follow the store for the others
/// there: high-capacity VMs if there are any. The number of store calls then
/// grows with the failure domains, not with the VMs. The result is the same on
/// all VMs that have the same list. Returns none if there are so few VMs that
/// this would save next to nothing; each then follows the store itself.
[[nodiscard]] std::vector<std::string>
SelectForwarders(const cluster_state& aState,
                 const std::string& aFailureDomain);

/// Maximum size, in bytes of keys and values, of an update that a forwarder
/// sends. The link's bandwidth is in megabits per second.
[[nodiscard]] std::size_t
MaxUpdateBytes(double aLinkMegabits) noexcept;

} // namespace currantshed::node

#endif
