#include "currantshed/node/collectors.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/member/roster.hpp"
#include "currantshed/proxy/strength.hpp"

namespace currantshed::node {

namespace {

constexpr unsigned kMostCollectors = 4;

} // namespace

std::vector<std::string>
Collectors(const own_keys& aKeys, const std::string& aFailureDomain)
{
  std::vector<const vm_record*> staying;
  unsigned strongest = 0;
  for (const auto& [name, one] : aKeys.vms) {
    if (one.record.failureDomain == aFailureDomain && !one.record.leaving) {
      staying.push_back(&one.record);
      strongest = std::max(strongest, one.record.processorShare);
    }
  }
  std::vector<store::vm> strong;
  for (const auto* record : staying) {
    if (proxy::IsStrong(record->processorShare, strongest)) {
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
