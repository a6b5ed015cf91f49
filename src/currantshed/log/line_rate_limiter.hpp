#ifndef CURRANTSHED_LOG_LINE_RATE_LIMITER_HPP
#define CURRANTSHED_LOG_LINE_RATE_LIMITER_HPP

#include <cstdint>

#include "currantshed/clock/time.hpp"

namespace currantshed::log {

/// Token bucket that limits the log lines written per second and counts the
/// dropped ones.
class line_rate_limiter
{
public:
  /// Refill rate in lines per second, and bucket capacity in lines.
  line_rate_limiter(double aPerSecond, double aBurst) noexcept;

  /// Whether one more line may be written now. High-priority lines may also use
  /// the reserved share of the bucket.
  [[nodiscard]] bool TryAcquire(bool aIsHighPriority,
                                clock::time_point aNow) noexcept;

  /// Counts a line that was admitted but could not be written.
  void CountDropped() noexcept { ++mDropped; }

  /// Returns the number of lines dropped since the previous call.
  [[nodiscard]] std::uint64_t TakeDropped() noexcept;

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  clock::time_point mRefilledAt{};
  std::uint64_t mDropped = 0;
};

} // namespace currantshed::log

#endif
