#include "placement.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

#include <absl/container/flat_hash_set.h>
#include <xxhash.h>

namespace currantshed::place {

namespace {

// Draws that are restricted to new failure domains; later ones accept any
// domain.
constexpr std::uint64_t kDraws = 32;

std::uint64_t
DrawKey(const group::group_name& aGroup, std::uint64_t aDraw)
{
  return XXH3_64bits_withSeed(aGroup.data(), aGroup.size(), aDraw);
}

// Figure 1 of Fujii's paper, which follows Lamping and Veach.
std::size_t
JumpHash(std::uint64_t aKey, std::size_t aCount)
{
  constexpr std::uint64_t kFactor = 2862933555777941757U;
  constexpr double kTwoToThe31 = 2147483648.0;
  constexpr unsigned kShift = 33;
  std::uint64_t last = 0;
  std::uint64_t next = 0;
  while (next < aCount) {
    last = next;
    aKey = aKey * kFactor + 1;
    const auto drawn = static_cast<double>((aKey >> kShift) + 1);
    next = static_cast<std::uint64_t>(static_cast<double>(last + 1) *
                                      (kTwoToThe31 / drawn));
  }
  return last;
}

std::uint32_t
BucketHash(std::size_t aItem, std::uint64_t aKey)
{
  const std::array<std::uint64_t, 2> input{ aItem, aKey };
  return static_cast<std::uint32_t>(XXH3_64bits(input.data(), sizeof(input)));
}

// Figure 3 of Fujii's paper, with XXH3 instead of Jenkins' hash.
std::size_t
JumpBucket(std::uint64_t aKey, const std::vector<std::uint32_t>& aSums)
{
  constexpr std::uint32_t kMask = 0x7fffffffU;
  constexpr double kTwoToThe31 = 2147483648.0;
  std::size_t item = 0;
  while (true) {
    const auto drawn = static_cast<double>(BucketHash(item, aKey) & kMask) + 1;
    const double bound = aSums[item] * (kTwoToThe31 / drawn);
    if (bound >= aSums.back()) {
      return item;
    }
    auto low = item;
    auto high = aSums.size();
    while (low + 1 != high) {
      const auto middle = (low + high) / 2;
      if (aSums[middle] > bound) {
        high = middle;
      } else {
        low = middle;
      }
    }
    item = low + 1;
  }
}

// Chooses the owners one at a time, drawing until a VM in a new failure domain
// is found.
class drawing_placement : public placement
{
public:
  void SetVms(const std::vector<store::vm>& aVms) override
  {
    mVms = aVms;
    std::uint32_t sum = 0;
    mSums.clear();
    for (const auto& vm : mVms) {
      sum += vm.leaving ? 0 : 1;
      mSums.push_back(sum);
    }
  }

  [[nodiscard]] std::vector<store::vm> Owners(const group::group_name& aGroup,
                                              unsigned aCount) const override
  {
    std::vector<store::vm> owners;
    absl::flat_hash_set<std::string> domains;
    absl::flat_hash_set<std::string> chosen;
    for (std::uint64_t draw = 0; draw < 2 * kDraws && owners.size() < aCount;
         ++draw) {
      const auto& vm = mVms[Draw(DrawKey(aGroup, draw))];
      const bool anyDomain = draw >= kDraws;
      if (vm.leaving || chosen.contains(vm.id) ||
          (domains.contains(vm.failureDomain) && !anyDomain)) {
        continue;
      }
      chosen.insert(vm.id);
      domains.insert(vm.failureDomain);
      owners.push_back(vm);
    }
    return owners;
  }

protected:
  [[nodiscard]] virtual std::size_t Draw(std::uint64_t aKey) const = 0;
  [[nodiscard]] std::size_t Count() const { return mVms.size(); }
  [[nodiscard]] const std::vector<std::uint32_t>& Sums() const { return mSums; }

private:
  std::vector<store::vm> mVms;
  std::vector<std::uint32_t> mSums;
};

class jump_hash final : public drawing_placement
{
  [[nodiscard]] std::size_t Draw(std::uint64_t aKey) const override
  {
    return JumpHash(aKey, Count());
  }
};

class jump_bucket final : public drawing_placement
{
  [[nodiscard]] std::size_t Draw(std::uint64_t aKey) const override
  {
    return JumpBucket(aKey, Sums());
  }
};

} // namespace

std::unique_ptr<placement>
MakeJumpHash()
{
  return std::make_unique<jump_hash>();
}

std::unique_ptr<placement>
MakeJumpBucket()
{
  return std::make_unique<jump_bucket>();
}

} // namespace currantshed::place
