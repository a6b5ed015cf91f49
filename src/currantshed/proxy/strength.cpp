#include "currantshed/proxy/strength.hpp"

#include <algorithm>
#include <cstddef>

#include <absl/container/flat_hash_map.h>

namespace currantshed::proxy {

namespace {

// Two, so that one remains when the other fails.
constexpr unsigned kFewestStrong = 2;
// Delegates must have at least this fraction (1/12) of the processor time of
// their failure domain, since they do part of the others' work besides their
// own.
constexpr unsigned kSmallestPart = 12;

struct domain_strength
{
  unsigned strongest = 0;
  unsigned all = 0;
  unsigned strong = 0;
  unsigned strongVms = 0;

  [[nodiscard]] bool IsStrong(unsigned aShare) const
  {
    return proxy::IsStrong(aShare, strongest);
  }

  [[nodiscard]] bool AreEnough() const
  {
    return strongVms >= kFewestStrong && kSmallestPart * strong >= all;
  }
};

} // namespace

std::vector<bool>
WorkForOthers(const std::vector<vm_strength>& aVms)
{
  absl::flat_hash_map<std::string, domain_strength> domains;
  for (const auto& vm : aVms) {
    if (!vm.leaving) {
      auto& domain = domains[vm.failureDomain];
      domain.strongest = std::max(domain.strongest, vm.share);
      domain.all += vm.share;
    }
  }
  for (const auto& vm : aVms) {
    auto& domain = domains[vm.failureDomain];
    if (!vm.leaving && domain.IsStrong(vm.share)) {
      domain.strong += vm.share;
      ++domain.strongVms;
    }
  }
  std::vector<bool> works;
  works.reserve(aVms.size());
  for (const auto& vm : aVms) {
    const auto& domain = domains[vm.failureDomain];
    const bool isChosen = !domain.AreEnough() || domain.IsStrong(vm.share);
    works.push_back(!vm.leaving && isChosen);
  }
  return works;
}

} // namespace currantshed::proxy
