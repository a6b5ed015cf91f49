#include "currantshed/node/quota_coordinators.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/member/membership.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

constexpr unsigned kMaxCoordinators = 4;

} // namespace

std::vector<std::string>
QuotaCoordinators(const cluster_state& aState,
                  const std::string& aFailureDomain)
{
  std::vector<const vm_record*> active;
  unsigned maxCpuMillicores = 0;
  for (const auto& [name, one] : aState.vms) {
    if (one.record.failureDomain == aFailureDomain && !one.record.draining) {
      active.push_back(&one.record);
      maxCpuMillicores = std::max(maxCpuMillicores, one.record.cpuMillicores);
    }
  }
  std::vector<store::vm> eligible;
  for (const auto* record : active) {
    if (proxy::HasHighCapacity(record->cpuMillicores, maxCpuMillicores)) {
      store::vm vm;
      vm.id = record->where.vm;
      vm.failureDomain = aFailureDomain;
      eligible.push_back(std::move(vm));
    }
  }
  std::vector<std::string> coordinators;
  for (const auto& one : member::ChooseOwners(
         "tokens of " + aFailureDomain, eligible, kMaxCoordinators)) {
    coordinators.push_back(one.id);
  }
  return coordinators;
}

} // namespace currantshed::node
