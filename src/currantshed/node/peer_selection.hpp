#ifndef CURRANTSHED_NODE_PEER_SELECTION_HPP
#define CURRANTSHED_NODE_PEER_SELECTION_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "currantshed/news/fwd.hpp"

namespace currantshed::node {

/// Selects aCount of the VMs in round-robin order, so that all are selected
/// once before any is selected again. aTurn must increase by one with each
/// call.
[[nodiscard]] std::vector<std::string>
SelectRoundRobin(const std::vector<news::peer>& aPeers,
                 std::size_t aCount,
                 std::size_t aTurn);

/// Appends the names that aNames does not contain yet.
void
AppendMissing(std::vector<std::string>& aNames,
              const std::vector<std::string>& aOthers);

} // namespace currantshed::node

#endif
