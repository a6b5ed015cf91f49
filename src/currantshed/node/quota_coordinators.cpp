#include "currantshed/node/quota_coordinators.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/member/membership.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

constexpr unsigned kMostCollectors = 4;

} // namespace

std::vector<std::string>
QuotaCoordinators(const cluster_state& aKeys, const std::string& aFailureDomain)
{
  std::vector<const vm_record*> staying;
  unsigned strongest = 0;
  for (const auto& [name, one] : aKeys.vms) {
    if (one.record.failureDomain == aFailureDomain && !one.record.leaving) {
      staying.push_back(&one.record);
      strongest = std::max(strongest, one.record.cpuMillicores);
    }
  }
  std::vector<store::vm> strong;
  for (const auto* record : staying) {
    if (proxy::HasHighCapacity(record->cpuMillicores, strongest)) {
      store::vm vm;
      vm.id = record->where.vm;
      vm.failureDomain = aFailureDomain;
      strong.push_back(std::move(vm));
    }
  }
  std::vector<std::string> collectors;
  for (const auto& one : member::ChooseOwners(
         "tokens of " + aFailureDomain, strong, kMostCollectors)) {
    collectors.push_back(one.id);
  }
  return collectors;
}

} // namespace currantshed::node
