#ifndef CURRANTSHED_NODE_INTERNAL_FORWARDING_TIMEOUTS_HPP
#define CURRANTSHED_NODE_INTERNAL_FORWARDING_TIMEOUTS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::node::internal {

/// The number of the configuration's keys in messages.
constexpr std::size_t kConfigurationPrefix = 0;

/// How long what feeders pass on may count, by the time within which a
/// configuration must be in force.
class forwarding_timeouts
{
public:
  explicit constexpr forwarding_timeouts(
    std::chrono::milliseconds aBound) noexcept
    : mBound(aBound)
  {
  }

  /// How long after its start a VM looks for others that follow the store for
  /// it, before it begins to follow what it has read by itself; and the same
  /// for the system's own keys, which tell who does.
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

  /// Until when keys count as current that came from a feeder now, and were
  /// surely those of the store at the given time. A feeder that answers but is
  /// behind is one to whom the store is slow: were all that it feeds to ask the
  /// store instead, the store would stay slow.
  [[nodiscard]] constexpr clock::time_point ForwardedUntil(
    bool aIsConfiguration,
    clock::time_point aCurrentAt,
    clock::time_point aNow) const noexcept
  {
    const auto usual = aIsConfiguration ? kConfigurationLife : kOtherLife;
    const auto longest =
      std::max(usual, aIsConfiguration ? mBound * 3 / 5 : mBound * 5 / 6);
    return std::max(aCurrentAt + usual,
                    std::min(aNow + kAnswerLife, aCurrentAt + longest));
  }

private:
  // How long keys count after they were surely those of the store, whether any
  // feeder answers or not. Shorter for the configuration, which must be in
  // force in time wherever the VM itself reaches the store.
  static constexpr std::chrono::milliseconds kConfigurationLife{ 1800 };
  static constexpr std::chrono::milliseconds kOtherLife{ 2500 };
  // Three questions.
  static constexpr std::chrono::milliseconds kAnswerLife{ 1200 };

  std::chrono::milliseconds mBound;
};

} // namespace currantshed::node::internal

#endif
