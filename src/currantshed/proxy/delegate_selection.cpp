#include "currantshed/proxy/delegate_selection.hpp"

#include <algorithm>
#include <cstddef>

#include <absl/container/flat_hash_map.h>

namespace currantshed::proxy {

namespace {

// One that dies must leave another.
constexpr unsigned kMinDelegates = 2;
// The strong ones must have at least this part of the processor time of their
// failure domain, for they do part of the others' work beside their own.
constexpr unsigned kMinCapacityDivisor = 12;

struct domain_capacity
{
  unsigned maxCpuMillicores = 0;
  unsigned totalCpuMillicores = 0;
  unsigned highCapacityMillicores = 0;
  unsigned highCapacityVms = 0;

  [[nodiscard]] bool HasHighCapacity(unsigned aCpuMillicores) const
  {
    return proxy::HasHighCapacity(aCpuMillicores, maxCpuMillicores);
  }

  [[nodiscard]] bool Suffice() const
  {
    return highCapacityVms >= kMinDelegates &&
           kMinCapacityDivisor * highCapacityMillicores >= totalCpuMillicores;
  }
};

} // namespace

std::vector<bool>
SelectDelegates(const std::vector<vm_capacity>& aVms)
{
  absl::flat_hash_map<std::string, domain_capacity> domains;
  for (const auto& vm : aVms) {
    if (!vm.draining) {
      auto& domain = domains[vm.failureDomain];
      domain.maxCpuMillicores =
        std::max(domain.maxCpuMillicores, vm.cpuMillicores);
      domain.totalCpuMillicores += vm.cpuMillicores;
    }
  }
  for (const auto& vm : aVms) {
    auto& domain = domains[vm.failureDomain];
    if (!vm.draining && domain.HasHighCapacity(vm.cpuMillicores)) {
      domain.highCapacityMillicores += vm.cpuMillicores;
      ++domain.highCapacityVms;
    }
  }
  std::vector<bool> delegates;
  delegates.reserve(aVms.size());
  for (const auto& vm : aVms) {
    const auto& domain = domains[vm.failureDomain];
    const bool isSelected =
      !domain.Suffice() || domain.HasHighCapacity(vm.cpuMillicores);
    delegates.push_back(!vm.draining && isSelected);
  }
  return delegates;
}

} // namespace currantshed::proxy
