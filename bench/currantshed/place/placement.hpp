#ifndef CURRANTSHED_BENCH_PLACE_PLACEMENT_HPP
#define CURRANTSHED_BENCH_PLACE_PLACEMENT_HPP

#include <memory>
#include <vector>

#include "currantshed/group/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::place {

/// An algorithm that chooses the poolers that own a group.
class placement
{
public:
  virtual ~placement() = default;

  /// Sets the VMs, in an order on which all processes agree.
  virtual void SetVms(const std::vector<store::vm>& aVms) = 0;

  /// Owners of a group, the leader first, in different failure domains where
  /// possible.
  [[nodiscard]] virtual std::vector<store::vm> Owners(
    const group::group_name& aGroup,
    unsigned aCount) const = 0;
};

/// The algorithm that the library uses: rendezvous hashing.
[[nodiscard]] std::unique_ptr<placement>
MakeRendezvous();

/// Jump consistent hash: J. Lamping and E. Veach, "A Fast, Minimal Memory,
/// Consistent Hash Algorithm", 2014.
[[nodiscard]] std::unique_ptr<placement>
MakeJumpHash();

/// Jump bucket: Kazuho Fujii, "An Algorithm for Mapping Data to Storage
/// Clusters", 2016. A leaving VM keeps its slot with weight zero.
[[nodiscard]] std::unique_ptr<placement>
MakeJumpBucket();

} // namespace currantshed::place

#endif
