#ifndef CURRANTSHED_NODE_INTERNAL_FORWARDING_TIMEOUTS_HPP
#define CURRANTSHED_NODE_INTERNAL_FORWARDING_TIMEOUTS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::node::internal {

/// The number that stands for the configuration's prefix in messages.
constexpr std::size_t kConfigurationPrefix = 0;

/// Time-outs for keys that come from forwarders, derived from the time within
/// which a configuration must be in force.
class forwarding_timeouts
{
public:
  explicit constexpr forwarding_timeouts(
    std::chrono::milliseconds aBound) noexcept
    : mBound(aBound)
  {
  }

  /// How long after its start a VM looks for forwarders before it follows the
  /// store itself. The time for the cluster state, which tells which VMs are
  /// forwarders, is shorter.
  [[nodiscard]] constexpr std::chrono::milliseconds DiscoveryTimeout()
    const noexcept
  {
    return mBound * 5 / 6;
  }
  [[nodiscard]] constexpr std::chrono::milliseconds ClusterDiscoveryTimeout()
    const noexcept
  {
    return mBound / 3;
  }

  /// Returns until when keys count as current that were received from a
  /// forwarder at aNow and are known to have matched the store at aCurrentAt. A
  /// forwarder that answers but is behind has a slow connection to the store.
  /// If all its subscribers turned to the store instead, the store would remain
  /// slow.
  [[nodiscard]] constexpr clock::time_point ForwardedUntil(
    bool aIsConfiguration,
    clock::time_point aCurrentAt,
    clock::time_point aNow) const noexcept
  {
    const auto usual =
      aIsConfiguration ? kConfigurationLifetime : kOtherLifetime;
    const auto longest =
      std::max(usual, aIsConfiguration ? mBound * 3 / 5 : mBound * 5 / 6);
    return std::max(aCurrentAt + usual,
                    std::min(aNow + kResponseLife, aCurrentAt + longest));
  }

private:
  // How long keys count as current after they are known to have matched the
  // store, whether or not a forwarder answers. Shorter for the configuration,
  // which must be in force in time wherever the VM itself reaches the store.
  static constexpr std::chrono::milliseconds kConfigurationLifetime{ 1800 };
  static constexpr std::chrono::milliseconds kOtherLifetime{ 2500 };
  // The time of three polls.
  static constexpr std::chrono::milliseconds kResponseLife{ 1200 };

  std::chrono::milliseconds mBound;
};

} // namespace currantshed::node::internal

#endif
