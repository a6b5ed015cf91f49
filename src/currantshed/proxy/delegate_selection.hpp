#ifndef CURRANTSHED_PROXY_DELEGATE_SELECTION_HPP
#define CURRANTSHED_PROXY_DELEGATE_SELECTION_HPP

#include <string>
#include <vector>

namespace currantshed::proxy {

/// What a VM has to work with.
struct vm_capacity
{
  std::string failureDomain;
  /// Processor time, in thousandths of a core.
  unsigned cpuMillicores = 0;
  /// Stops soon.
  bool draining = false;
};

/// Whether a VM counts as strong beside the strongest of its failure domain:
/// with half of what that one has.
[[nodiscard]] constexpr bool
HasHighCapacity(unsigned aCpuMillicores, unsigned aMaxCpuMillicores) noexcept
{
  return 2 * aCpuMillicores >= aMaxCpuMillicores;
}

/// Which of the VMs work for others of their failure domain: hold connections
/// to servers for them, and follow the store for them. These are the strong
/// ones, where they are enough: at least two with half of what the strongest
/// has, and together a twelfth of what the domain has. Else all that stay. Work
/// for others goes by few VMs then, so that each VM finds out soon when one of
/// them is out of reach, and it takes less time on a fast VM.
[[nodiscard]] std::vector<bool>
SelectDelegates(const std::vector<vm_capacity>& aVms);

} // namespace currantshed::proxy

#endif
