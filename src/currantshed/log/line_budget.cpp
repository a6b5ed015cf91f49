#include "currantshed/log/line_budget.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace currantshed::log {

namespace {

// The part of the budget that ordinary lines leave to warnings and errors.
constexpr double kKeptBack = 0.25;

} // namespace

line_budget::line_budget(double aPerSecond, double aBurst) noexcept
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mLeft(aBurst)
{
}

bool
line_budget::Take(bool aMattersMore, clock::time_point aNow) noexcept
{
  if (aNow > mFilledAt) {
    const std::chrono::duration<double> passed = aNow - mFilledAt;
    mLeft = std::min(mBurst, mLeft + passed.count() * mPerSecond);
    mFilledAt = aNow;
  }
  const double floor = aMattersMore ? 0 : mBurst * kKeptBack;
  if (mLeft - 1 < floor) {
    ++mDropped;
    return false;
  }
  mLeft -= 1;
  return true;
}

std::uint64_t
line_budget::TakeDropped() noexcept
{
  return std::exchange(mDropped, 0);
}

} // namespace currantshed::log
