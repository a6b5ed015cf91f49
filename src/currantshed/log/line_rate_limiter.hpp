#ifndef CURRANTSHED_LOG_LINE_RATE_LIMITER_HPP
#define CURRANTSHED_LOG_LINE_RATE_LIMITER_HPP

#include <cstdint>

#include "currantshed/clock/time.hpp"

namespace currantshed::log {

/// Bounds the lines a second that a process writes, and counts those that it
/// leaves out.
class line_rate_limiter
{
public:
  /// Lines a second, and lines that may come at once.
  line_rate_limiter(double aPerSecond, double aBurst) noexcept;

  /// Whether one more line may be written now. Lines that matter more may
  /// also use what is kept back from others.
  [[nodiscard]] bool TryAcquire(bool aIsHighPriority,
                                clock::time_point aNow) noexcept;

  /// A line could not be written.
  void CountDropped() noexcept { ++mDropped; }

  /// Lines left out since this was last asked.
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
