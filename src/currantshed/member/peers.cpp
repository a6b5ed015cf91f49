#include "currantshed/member/peers.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include <xxhash.h>

namespace currantshed::member {

namespace {

// A VM and its place in some order by hash.
using hashed_vm = std::pair<std::uint64_t, const store::vm*>;

std::uint64_t
RingPosition(const std::string& aId)
{
  return XXH3_64bits(aId.data(), aId.size());
}

std::uint64_t
Draw(const peer_choice& aChoice, const std::string& aId)
{
  const std::array<std::uint64_t, 2> round{ aChoice.seed, aChoice.beat };
  const auto seed = XXH3_64bits(round.data(), sizeof(round));
  return XXH3_64bits_withSeed(aId.data(), aId.size(), seed);
}

std::vector<hashed_vm>
Shuffled(const peer_choice& aChoice)
{
  std::vector<hashed_vm> drawn;
  for (const auto& vm : aChoice.others) {
    drawn.emplace_back(Draw(aChoice, vm.id), &vm);
  }
  std::sort(drawn.begin(), drawn.end());
  return drawn;
}

// Takes VMs that are not taken yet until the limit of the list is reached.
void
Take(const std::vector<hashed_vm>& aFrom,
     std::size_t aLimit,
     absl::flat_hash_set<std::string>& aTaken,
     std::vector<store::vm>& aPeers)
{
  for (const auto& [place, vm] : aFrom) {
    if (aPeers.size() >= aLimit) {
      return;
    }
    if (aTaken.insert(vm->id).second) {
      aPeers.push_back(*vm);
    }
  }
}

} // namespace

absl::flat_hash_set<std::string>
RingNeighbours(const store::vm& aSelf,
               const std::vector<store::vm>& aOthers,
               unsigned aCount)
{
  std::vector<hashed_vm> ring;
  const auto own = RingPosition(aSelf.id);
  for (const auto& vm : aOthers) {
    if (vm.failureDomain == aSelf.failureDomain) {
      ring.emplace_back(RingPosition(vm.id) - own, &vm);
    }
  }
  const auto count = std::min<std::size_t>(aCount, ring.size());
  std::partial_sort(ring.begin(),
                    ring.begin() + static_cast<std::ptrdiff_t>(count),
                    ring.end());
  absl::flat_hash_set<std::string> chosen;
  for (std::size_t place = 0; place < count; ++place) {
    chosen.insert(ring[place].second->id);
  }
  return chosen;
}

std::vector<store::vm>
ChoosePeers(const peer_choice& aChoice)
{
  if (aChoice.others.size() <= aChoice.fanout) {
    return aChoice.others;
  }
  std::vector<store::vm> peers;
  absl::flat_hash_set<std::string> taken;
  std::size_t limit = aChoice.fanout;
  for (const auto& vm : aChoice.others) {
    const bool owns = aChoice.coOwners.contains(vm.id);
    if (owns || aChoice.neighbours.contains(vm.id)) {
      limit += owns ? 1 : 0;
      taken.insert(vm.id);
      peers.push_back(vm);
    }
  }
  Take(Shuffled(aChoice), limit, taken, peers);
  return peers;
}

} // namespace currantshed::member
