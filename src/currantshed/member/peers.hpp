#ifndef CURRANTSHED_MEMBER_PEERS_HPP
#define CURRANTSHED_MEMBER_PEERS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "currantshed/store/client.hpp"

namespace currantshed::member {

/// What the choice of heartbeat receivers rests on.
struct peer_choice
{
  const store::vm& self;
  /// The other VMs that may be alive.
  const std::vector<store::vm>& others;
  /// Ids of those next on the ring; always chosen.
  const absl::flat_hash_set<std::string>& neighbours;
  /// Ids of VMs that own a group together with this one; always chosen.
  const absl::flat_hash_set<std::string>& coOwners;
  /// Receivers besides the co-owners.
  unsigned fanout = 0;
  std::uint64_t seed = 0;
  /// Number of the heartbeat: other random peers are drawn for each.
  std::uint64_t beat = 0;
};

/// The next VMs of the own failure domain on the hashed ring, among the given
/// ones.
[[nodiscard]] absl::flat_hash_set<std::string>
RingNeighbours(const store::vm& aSelf,
               const std::vector<store::vm>& aOthers,
               unsigned aCount);

/// Receivers of one heartbeat: every other VM in a small fleet. In a larger
/// one the co-owners, the neighbours, and a random few of the rest.
[[nodiscard]] std::vector<store::vm>
ChoosePeers(const peer_choice& aChoice);

} // namespace currantshed::member

#endif
