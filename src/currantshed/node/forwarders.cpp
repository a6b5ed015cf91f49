#include "currantshed/node/forwarders.hpp"

#include <algorithm>
#include <utility>

#include "currantshed/member/membership.hpp"
#include "currantshed/proxy/delegate_selection.hpp"

namespace currantshed::node {

namespace {

// Two, so that one remains if the other fails, hangs or loses its connection to
// the store. If only one VM has high capacity there is only that forwarder,
// because a low-capacity one cannot handle the watch updates of each monitoring
// VM: with 140 groups these are 290 messages per second, more than a VM with
// 0.12 of a core can process without delaying its own callers. If the only
// forwarder fails, VMs query the store and the monitoring VMs directly.
constexpr unsigned kForwarders = 2;
// Maximum time, in seconds, that one answer occupies the forwarder's link: some
// sixty VMs may poll at the same time, and callers use the same link.
constexpr double kMaxLinkTime = 0.01;
constexpr double kBytesPerMegabit = 1e6 / 8;
// All updates of a message together must stay below the receiver's limit of 256
// KB. The receiver drops the connection of a sender that exceeds it, polls
// again and gets the same message.
constexpr double kMaxUpdateSize = 64.0 * 1024;

} // namespace

std::vector<std::string>
SelectForwarders(const cluster_state& aState, const std::string& aFailureDomain)
{
  std::vector<store::vm> active;
  std::vector<unsigned> capacities;
  for (const auto& [name, one] : aState.vms) {
    const auto& record = one.record;
    if (record.failureDomain == aFailureDomain && !record.draining) {
      store::vm vm;
      vm.id = name;
      vm.failureDomain = aFailureDomain;
      active.push_back(std::move(vm));
      capacities.push_back(record.cpuMillicores);
    }
  }
  std::vector<std::string> forwarders;
  if (active.size() < kMinVmsForForwarders) {
    return forwarders;
  }
  const auto maxCpuMillicores =
    *std::max_element(capacities.begin(), capacities.end());
  std::vector<store::vm> eligible;
  for (std::size_t i = 0; i < active.size(); ++i) {
    if (proxy::HasHighCapacity(capacities[i], maxCpuMillicores)) {
      eligible.push_back(std::move(active[i]));
    }
  }
  for (const auto& one : member::ChooseOwners(
         "feeders of " + aFailureDomain, eligible, kForwarders)) {
    forwarders.push_back(one.id);
  }
  return forwarders;
}

std::size_t
MaxUpdateBytes(double aLinkMegabits) noexcept
{
  const auto byLink = aLinkMegabits * kBytesPerMegabit * kMaxLinkTime;
  return static_cast<std::size_t>(std::min(byLink, kMaxUpdateSize));
}

} // namespace currantshed::node
