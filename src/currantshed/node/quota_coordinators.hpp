#ifndef CURRANTSHED_NODE_QUOTA_COORDINATORS_HPP
#define CURRANTSHED_NODE_QUOTA_COORDINATORS_HPP

#include <string>
#include <vector>

#include "currantshed/node/cluster_state.hpp"

namespace currantshed::node {

/// Selects the VMs of a failure domain that coordinate the tokens of customers'
/// quotas for the other VMs there: high-capacity VMs if there are any, and few,
/// because each of the other VMs keeps a connection to each coordinator. The
/// result is the same on all VMs that have the same list.
[[nodiscard]] std::vector<std::string>
QuotaCoordinators(const cluster_state& aState,
                  const std::string& aFailureDomain);

} // namespace currantshed::node

#endif
