#include "currantshed/log/line_rate_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace currantshed::log {

namespace {

// Share of the bucket reserved for warnings and errors.
constexpr double kReservedShare = 0.25;

} // namespace

line_rate_limiter::line_rate_limiter(double aPerSecond, double aBurst) noexcept
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
{
}

bool
line_rate_limiter::TryAcquire(bool aIsHighPriority,
                              clock::time_point aNow) noexcept
{
  if (aNow > mRefilledAt) {
    const std::chrono::duration<double> passed = aNow - mRefilledAt;
    mTokens = std::min(mBurst, mTokens + passed.count() * mPerSecond);
    mRefilledAt = aNow;
  }
  const double floor = aIsHighPriority ? 0 : mBurst * kReservedShare;
  if (mTokens - 1 < floor) {
    ++mDropped;
    return false;
  }
  mTokens -= 1;
  return true;
}

std::uint64_t
line_rate_limiter::TakeDropped() noexcept
{
  return std::exchange(mDropped, 0);
}

} // namespace currantshed::log
