#ifndef CURRANTSHED_NODE_FORWARDERS_HPP
#define CURRANTSHED_NODE_FORWARDERS_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/node/cluster_state.hpp"

namespace currantshed::node {

/// With fewer VMs in a failure domain, most of them would be feeders.
constexpr std::size_t kMinVmsForForwarders = 5;

/// The VMs of a failure domain that follow the store for the others there,
/// strong ones where there are, so that its calls grow with the domains, not
/// with the VMs. All VMs come to the same answer from the same list. None where
/// the VMs are so few that it would spare next to nothing: then each follows
/// the store by itself.
[[nodiscard]] std::vector<std::string>
SelectForwarders(const cluster_state& aKeys, const std::string& aFailureDomain);

/// The longest answer that a feeder gives, in bytes of keys and values; what is
/// longer is left to the store. The link's rate is in megabits a second.
[[nodiscard]] std::size_t
MaxUpdateBytes(double aLinkMegabits) noexcept;

} // namespace currantshed::node

#endif
