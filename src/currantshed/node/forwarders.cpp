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
constexpr double kLinkPart = 0.01;
constexpr double kBytesByMegabit = 1e6 / 8;
// All updates of a message together must stay below the receiver's limit of 256
// KB. The receiver drops the connection of a sender that exceeds it, polls
// again and gets the same message.
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
