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

  /// How long a VM that follows the store again after an outage waits for its
  /// forwarders before it calls the store itself. All VMs regain it together.
  [[nodiscard]] constexpr std::chrono::milliseconds RecoveryTimeout()
    const noexcept
  {
    return mBound / 5;
  }

  /// Timeouts for a snapshot in chunks. As long as a forwarder answers, its
  /// subscribers wait: each would get the same keys from the store, over one
  /// link for all.
  [[nodiscard]] constexpr std::chrono::milliseconds ChunkTimeout()
    const noexcept
  {
    return std::max(kMinChunkTimeout, mBound / 10);
  }
  [[nodiscard]] constexpr std::chrono::milliseconds TransferTimeout()
    const noexcept
  {
    return std::max(kMinTransferTimeout, mBound * 2 / 5);
  }

  /// Upper bound of the pause between two snapshots of the same keys.
  [[nodiscard]] constexpr std::chrono::milliseconds MaxTransferPause()
    const noexcept
  {
    return mBound / 10;
  }

  /// How long a VM may lag behind a change that others have announced before it
  /// leaves its forwarders for the store. The random number in [0, 1) spreads
  /// the VMs, which all learn of a change at the same time.
  [[nodiscard]] constexpr std::chrono::milliseconds MaxLag(
    double aRandom) const noexcept
  {
    const auto spread = std::chrono::duration<double, std::milli>(mBound) / 5;
    return mBound * 2 / 5 +
           std::chrono::duration_cast<std::chrono::milliseconds>(spread *
                                                                 aRandom);
  }

  /// Until when a VM waits for the transfer of a change that a forwarder has
  /// announced at aNow.
  [[nodiscard]] constexpr clock::time_point AnnouncedUntil(
    clock::time_point aNow) const noexcept
  {
    return aNow + kResponseLife;
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
  static constexpr std::chrono::milliseconds kMinChunkTimeout{ 400 };
  static constexpr std::chrono::milliseconds kMinTransferTimeout{ 1200 };
  // The time of three polls.
  static constexpr std::chrono::milliseconds kResponseLife{ 1200 };

  std::chrono::milliseconds mBound;
};

} // namespace currantshed::node::internal

#endif
