#ifndef CURRANTSHED_PROXY_DELEGATE_SELECTION_HPP
#define CURRANTSHED_PROXY_DELEGATE_SELECTION_HPP

#include <string>
#include <vector>

namespace currantshed::proxy {

/// Capacity of a VM.
struct vm_capacity
{
  std::string failureDomain;
  /// Processor time in thousandths of a core.
  unsigned cpuMillicores = 0;
  /// Stops soon.
  bool draining = false;
};

/// Whether a VM has high capacity: at least half of the largest VM of its
/// failure domain.
[[nodiscard]] constexpr bool
HasHighCapacity(unsigned aCpuMillicores, unsigned aMaxCpuMillicores) noexcept
{
  return 2 * aCpuMillicores >= aMaxCpuMillicores;
}

/// Selects the delegates: VMs that hold connections to servers and watch the
/// store for the other VMs of their failure domain. These are the high-capacity
/// VMs if there are at least two of them and they have at least a twelfth of
/// the domain's total capacity; otherwise all VMs that are not draining. With
/// few delegates every VM soon notices when one is unreachable, and relaying
/// takes less time on a fast VM.
[[nodiscard]] std::vector<bool>
SelectDelegates(const std::vector<vm_capacity>& aVms);

} // namespace currantshed::proxy

#endif
