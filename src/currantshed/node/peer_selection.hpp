#ifndef CURRANTSHED_NODE_PEER_SELECTION_HPP
#define CURRANTSHED_NODE_PEER_SELECTION_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/news/fwd.hpp"

namespace currantshed::node {

/// A few of the VMs, the next ones at each turn, so that all have been chosen
/// once before one is chosen again.
[[nodiscard]] std::vector<std::string>
SelectRoundRobin(const std::vector<news::peer>& aPeers,
                 std::size_t aCount,
                 std::size_t aTurn);

/// Adds the names that are not there yet.
void
AppendMissing(std::vector<std::string>& aNames,
              const std::vector<std::string>& aOthers);

} // namespace currantshed::node

#endif
