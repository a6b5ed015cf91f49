#ifndef CURRANTSHED_NODE_QUOTA_COORDINATORS_HPP
#define CURRANTSHED_NODE_QUOTA_COORDINATORS_HPP

#include <string>
#include <vector>

#include "currantshed/node/cluster_state.hpp"

namespace currantshed::node {

/// The VMs of a failure domain that collect the tokens of customers' quotas for
/// the others there: strong ones where there are, and no more than are worth a
/// link from each of the others. All VMs come to the same answer from the same
/// list.
[[nodiscard]] std::vector<std::string>
QuotaCoordinators(const cluster_state& aKeys,
                  const std::string& aFailureDomain);

} // namespace currantshed::node

#endif
