#ifndef CURRANTSHED_MEMBER_PEERS_HPP
#define CURRANTSHED_MEMBER_PEERS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "currantshed/store/client.hpp"

namespace currantshed::member {

/// Inputs to the choice of heartbeat receivers.
struct peer_choice
{
  const store::vm& self;
  /// All other known VMs.
  const std::vector<store::vm>& others;
  /// Ids of the ring neighbours; always chosen.
  const absl::flat_hash_set<std::string>& neighbours;
  /// Ids of VMs that own a group together with this VM; always chosen.
  const absl::flat_hash_set<std::string>& coOwners;
  /// Number of receivers besides the co-owners.
  unsigned fanout = 0;
  std::uint64_t seed = 0;
  /// Sequence number of the heartbeat; a different random subset is drawn for
  /// each.
  std::uint64_t sequence = 0;
};

/// Ids of the aCount VMs among aOthers that follow this VM on the hash ring of
/// its failure domain.
[[nodiscard]] absl::flat_hash_set<std::string>
RingNeighbours(const store::vm& aSelf,
               const std::vector<store::vm>& aOthers,
               unsigned aCount);

/// Receivers of one heartbeat. In a small fleet, all other VMs; in a larger
/// one, the co-owners, the ring neighbours and a random subset of the rest.
[[nodiscard]] std::vector<store::vm>
ChoosePeers(const peer_choice& aChoice);

} // namespace currantshed::member

#endif
