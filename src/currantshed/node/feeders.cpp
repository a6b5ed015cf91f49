#include "currantshed/node/feeders.hpp"

#include <utility>

#include "currantshed/member/roster.hpp"
#include "currantshed/proxy/strength.hpp"

namespace currantshed::node {

namespace {

// Two, so that one that dies, hangs or loses its way to the store leaves one.
constexpr unsigned kFeeders = 2;

} // namespace

std::vector<std::string>
Feeders(const own_keys& aKeys, const std::string& aFailureDomain)
{
  std::vector<store::vm> staying;
  std::vector<proxy::vm_strength> strengths;
  for (const auto& [name, one] : aKeys.vms) {
    const auto& record = one.record;
    if (record.failureDomain == aFailureDomain && !record.leaving) {
      store::vm vm;
      vm.id = name;
      vm.failureDomain = aFailureDomain;
      staying.push_back(std::move(vm));
      strengths.push_back({ aFailureDomain, record.processorShare });
    }
  }
  std::vector<std::string> feeders;
  if (staying.size() < kFewestFed) {
    return feeders;
  }
  const auto works = proxy::WorkForOthers(strengths);
  std::vector<store::vm> candidates;
  for (std::size_t i = 0; i < staying.size(); ++i) {
    if (works[i]) {
      candidates.push_back(std::move(staying[i]));
    }
  }
  const auto chosen =
    member::ChooseOwners("feeders of " + aFailureDomain, candidates, kFeeders);
  for (const auto& one : chosen) {
    feeders.push_back(one.id);
  }
  return feeders;
}

} // namespace currantshed::node
