#include "currantshed/member/peers.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include <xxhash.h>

namespace currantshed::member {

namespace {

// A VM and its place in some order by hash.
using placed_vm = std::pair<std::uint64_t, const platform::vm*>;

std::uint64_t
RingPlace(const std::string& aId)
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

// Others of the own failure domain, by their distance on the ring.
std::vector<placed_vm>
Neighbours(const peer_choice& aChoice)
{
  std::vector<placed_vm> ring;
  const auto own = RingPlace(aChoice.self.id);
  for (const auto& vm : aChoice.others) {
    if (vm.failureDomain == aChoice.self.failureDomain) {
      ring.emplace_back(RingPlace(vm.id) - own, &vm);
    }
  }
  std::sort(ring.begin(), ring.end());
  return ring;
}

std::vector<placed_vm>
Shuffled(const peer_choice& aChoice)
{
  std::vector<placed_vm> drawn;
  for (const auto& vm : aChoice.others) {
    drawn.emplace_back(Draw(aChoice, vm.id), &vm);
  }
  std::sort(drawn.begin(), drawn.end());
  return drawn;
}

// Takes VMs that are not taken yet until the limit of the list is reached.
void
Take(const std::vector<placed_vm>& aFrom,
     std::size_t aLimit,
     absl::flat_hash_set<std::string>& aTaken,
     std::vector<platform::vm>& aPeers)
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

std::vector<platform::vm>
ChoosePeers(const peer_choice& aChoice)
{
  if (aChoice.others.size() <= aChoice.fanout) {
    return aChoice.others;
  }
  std::vector<platform::vm> peers;
  absl::flat_hash_set<std::string> taken;
  for (const auto& vm : aChoice.others) {
    if (aChoice.coOwners.contains(vm.id)) {
      taken.insert(vm.id);
      peers.push_back(vm);
    }
  }
  const auto limit = peers.size() + aChoice.fanout;
  Take(Neighbours(aChoice), limit - aChoice.fanout / 2, taken, peers);
  Take(Shuffled(aChoice), limit, taken, peers);
  return peers;
}

} // namespace currantshed::member
