#include "currantshed/node/forwarders.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/member/membership.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

// Two, so that one that dies, hangs or loses its way to the store leaves one.
// Where only one VM is strong it is the only one: what each watcher of a group
// sends, 290 messages a second before 140 groups, is more than a VM with 0.12
// of a core can take, which then is late for its own callers as well. Without
// the one, VMs ask the store and the watchers themselves.
constexpr unsigned kForwarders = 2;
// The part of a second for which one answer may keep the feeder's link busy:
// some sixty VMs may ask at once, and callers' work goes by the same link.
constexpr double kLinkPart = 0.01;
constexpr double kBytesByMegabit = 1e6 / 8;
// All answers of a message together stay below the 256 KB that a VM takes at
// once: it drops the connection of one that sends more, asks again, and is sent
// the same.
constexpr double kLongestAnswer = 64.0 * 1024;

} // namespace

std::vector<std::string>
SelectForwarders(const cluster_state& aKeys, const std::string& aFailureDomain)
{
  std::vector<store::vm> staying;
  std::vector<unsigned> shares;
  for (const auto& [name, one] : aKeys.vms) {
    const auto& record = one.record;
    if (record.failureDomain == aFailureDomain && !record.leaving) {
      store::vm vm;
      vm.id = name;
      vm.failureDomain = aFailureDomain;
      staying.push_back(std::move(vm));
      shares.push_back(record.cpuMillicores);
    }
  }
  std::vector<std::string> forwarders;
  if (staying.size() < kMinVmsForForwarders) {
    return forwarders;
  }
  const auto strongest = *std::max_element(shares.begin(), shares.end());
  std::vector<store::vm> strong;
  for (std::size_t i = 0; i < staying.size(); ++i) {
    if (proxy::HasHighCapacity(shares[i], strongest)) {
      strong.push_back(std::move(staying[i]));
    }
  }
  for (const auto& one : member::ChooseOwners(
         "feeders of " + aFailureDomain, strong, kForwarders)) {
    forwarders.push_back(one.id);
  }
  return forwarders;
}

std::size_t
MaxUpdateBytes(double aLinkMegabits) noexcept
{
  const auto byLink = aLinkMegabits * kBytesByMegabit * kLinkPart;
  return static_cast<std::size_t>(std::min(byLink, kLongestAnswer));
}

} // namespace currantshed::node
