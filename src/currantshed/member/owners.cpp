#include "currantshed/member/roster.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <absl/container/flat_hash_set.h>
#include <xxhash.h>

namespace currantshed::member {

namespace {

struct scored_vm
{
  std::uint64_t score = 0;
  const platform::vm* vm = nullptr;
};

// The zero byte keeps "ab" + "c" apart from "a" + "bc".
std::uint64_t
Score(const group::group_name& aGroup, const std::string& aVm)
{
  std::string text = aGroup;
  text.push_back('\0');
  text += aVm;
  return XXH3_64bits(text.data(), text.size());
}

bool
GoesBefore(const scored_vm& aLeft, const scored_vm& aRight)
{
  if (aLeft.score != aRight.score) {
    return aLeft.score > aRight.score;
  }
  return aLeft.vm->id < aRight.vm->id;
}

std::vector<scored_vm>
Ranked(const group::group_name& aGroup, const std::vector<platform::vm>& aVms)
{
  std::vector<scored_vm> ranked;
  ranked.reserve(aVms.size());
  for (const auto& vm : aVms) {
    if (!vm.leaving) {
      ranked.push_back({ Score(aGroup, vm.id), &vm });
    }
  }
  std::sort(ranked.begin(), ranked.end(), GoesBefore);
  return ranked;
}

} // namespace

std::vector<platform::vm>
ChooseOwners(const group::group_name& aGroup,
             const std::vector<platform::vm>& aVms,
             unsigned aOwners)
{
  std::vector<platform::vm> owners;
  std::vector<const platform::vm*> spare;
  absl::flat_hash_set<std::string> domains;
  for (const auto& candidate : Ranked(aGroup, aVms)) {
    if (owners.size() == aOwners) {
      return owners;
    }
    if (domains.insert(candidate.vm->failureDomain).second) {
      owners.push_back(*candidate.vm);
    } else {
      spare.push_back(candidate.vm);
    }
  }
  for (const auto* vm : spare) {
    if (owners.size() == aOwners) {
      break;
    }
    owners.push_back(*vm);
  }
  return owners;
}

} // namespace currantshed::member
