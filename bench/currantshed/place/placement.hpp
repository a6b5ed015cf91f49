#ifndef CURRANTSHED_BENCH_PLACE_PLACEMENT_HPP
#define CURRANTSHED_BENCH_PLACE_PLACEMENT_HPP

#include <memory>
#include <vector>

#include "currantshed/group/fwd.hpp"
#include "currantshed/store/client.hpp"

namespace currantshed::place {

/// A way to choose the poolers that own a group.
class placement
{
public:
  virtual ~placement() = default;

  /// Takes over the VMs, in the order that every process agrees on.
  virtual void SetVms(const std::vector<store::vm>& aVms) = 0;

  /// Owners of a group, the leading one first, in different failure domains
  /// where it can be.
  [[nodiscard]] virtual std::vector<store::vm> Owners(
    const group::group_name& aGroup,
    unsigned aCount) const = 0;
};

/// The way that the library uses: rendezvous hashing.
[[nodiscard]] std::unique_ptr<placement>
MakeRendezvous();

/// Jump consistent hash: J. Lamping and E. Veach, "A Fast, Minimal Memory,
/// Consistent Hash Algorithm", 2014.
[[nodiscard]] std::unique_ptr<placement>
MakeJumpHash();

/// Jump bucket: Kazuho Fujii, "An Algorithm for Mapping Data to Storage
/// Clusters", 2016. A VM that is marked leaving keeps its slot at weight zero.
[[nodiscard]] std::unique_ptr<placement>
MakeJumpBucket();

} // namespace currantshed::place

#endif
