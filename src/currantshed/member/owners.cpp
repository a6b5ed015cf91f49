#include "currantshed/member/owners.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <xxhash.h>

#include "currantshed/member/membership.hpp"

namespace currantshed::member {

namespace {

// Both names usually fit without memory of their own.
constexpr std::size_t kInlineNameBytes = 128;

struct scored_vm
{
  std::uint64_t score = 0;
  const store::vm* vm = nullptr;
};

bool
RanksBefore(const scored_vm& aLeft, const scored_vm& aRight)
{
  if (aLeft.score != aRight.score) {
    return aLeft.score > aRight.score;
  }
  return aLeft.vm->id < aRight.vm->id;
}

std::vector<scored_vm>
ScoreVms(const group::group_name& aGroup, const std::vector<store::vm>& aVms)
{
  std::vector<scored_vm> scored;
  scored.reserve(aVms.size());
  for (const auto& vm : aVms) {
    if (!vm.leaving) {
      scored.push_back({ OwnerScore(aGroup, vm.id), &vm });
    }
  }
  return scored;
}

// Moves the best VM of each failure domain to the front, the best ones first,
// and tells how many there are.
std::size_t
MoveBestPerDomainFirst(std::vector<scored_vm>& aScored)
{
  absl::flat_hash_map<std::string_view, std::size_t> best;
  for (std::size_t index = 0; index < aScored.size(); ++index) {
    const auto [place, added] =
      best.try_emplace(aScored[index].vm->failureDomain, index);
    if (!added && RanksBefore(aScored[index], aScored[place->second])) {
      place->second = index;
    }
  }
  std::vector<std::size_t> chosen;
  chosen.reserve(best.size());
  for (const auto& [domain, index] : best) {
    chosen.push_back(index);
  }
  std::sort(chosen.begin(), chosen.end());
  for (std::size_t place = 0; place < chosen.size(); ++place) {
    std::swap(aScored[place], aScored[chosen[place]]);
  }
  const auto end = aScored.begin() + static_cast<std::ptrdiff_t>(chosen.size());
  std::sort(aScored.begin(), end, RanksBefore);
  return chosen.size();
}

} // namespace

// Scores by the hash of both names. The zero byte keeps "ab" + "c" apart from
// "a" + "bc".
std::uint64_t
OwnerScore(std::string_view aGroup, std::string_view aVm)
{
  absl::InlinedVector<char, kInlineNameBytes> text(aGroup.begin(),
                                                   aGroup.end());
  text.push_back('\0');
  text.insert(text.end(), aVm.begin(), aVm.end());
  return XXH3_64bits(text.data(), text.size());
}

std::vector<store::vm>
ChooseOwners(const group::group_name& aGroup,
             const std::vector<store::vm>& aVms,
             unsigned aOwners)
{
  auto scored = ScoreVms(aGroup, aVms);
  const auto domains = MoveBestPerDomainFirst(scored);
  const auto count = std::min<std::size_t>(aOwners, scored.size());
  if (domains < count) {
    std::partial_sort(scored.begin() + static_cast<std::ptrdiff_t>(domains),
                      scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end(),
                      RanksBefore);
  }
  std::vector<store::vm> owners;
  owners.reserve(count);
  for (std::size_t place = 0; place < count; ++place) {
    owners.push_back(*scored[place].vm);
  }
  return owners;
}

} // namespace currantshed::member
