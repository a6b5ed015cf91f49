#ifndef CURRANTSHED_STORE_BACKOFF_HPP
#define CURRANTSHED_STORE_BACKOFF_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// Bounds of the delay after failed calls.
struct backoff_settings
{
  /// Minimum delay. The first delay may be up to twice as long.
  std::chrono::milliseconds minDelay{ 200 };
  /// Maximum delay. The calls of all VMs spread over this time when the
  /// platform recovers, so it should grow with the size of the fleet.
  std::chrono::milliseconds maxDelay{ 5000 };
};

/// Exponential backoff with jitter. Each delay is drawn uniformly between the
/// minimum and a bound that doubles with each failure, so that callers do not
/// retry simultaneously.
class backoff
{
public:
  explicit backoff(backoff_settings aSettings);

  /// Returns the delay after another failure. The random number is in [0, 1).
  [[nodiscard]] clock::duration Next(double aRandom);

  /// Resets the bound after a successful call.
  void Reset() noexcept;

private:
  backoff_settings mSettings;
  std::chrono::milliseconds mBound;
};

/// Interpolates linearly between two durations. The random number is in [0, 1).
[[nodiscard]] clock::duration
Between(clock::duration aLow, clock::duration aHigh, double aRandom);

} // namespace currantshed::store

#endif
