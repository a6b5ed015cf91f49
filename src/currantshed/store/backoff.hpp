#ifndef CURRANTSHED_STORE_BACKOFF_HPP
#define CURRANTSHED_STORE_BACKOFF_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::store {

/// How long to wait after failed calls.
struct backoff_settings
{
  /// The shortest wait; the first one may be up to twice as long.
  std::chrono::milliseconds minDelay{ 200 };
  /// The bound after many failures. Also what callers are spread over when
  /// the platform comes back, so it follows the fleet's size.
  std::chrono::milliseconds maxDelay{ 5000 };
};

/// Waits that grow with each failure, each drawn evenly between the shortest
/// and a bound that doubles, so that many callers don't come back together.
class backoff
{
public:
  explicit backoff(backoff_settings aSettings);

  /// The wait after one more failure. The random number is at least zero and
  /// below one.
  [[nodiscard]] clock::duration Next(double aRandom);

  /// A call succeeded.
  void Reset() noexcept;

private:
  backoff_settings mSettings;
  std::chrono::milliseconds mBound;
};

/// A point between two durations, for a random number at least zero and below
/// one.
[[nodiscard]] clock::duration
Between(clock::duration aLow, clock::duration aHigh, double aRandom);

} // namespace currantshed::store

#endif
