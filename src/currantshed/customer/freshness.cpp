#include "currantshed/customer/freshness.hpp"

#include <algorithm>

namespace currantshed::customer {

namespace {

// What the bound is tightened by, for the way from here to the server and for
// clocks that run at different rates.
constexpr std::chrono::milliseconds kReserve{ 150 };

} // namespace

freshness::freshness(std::chrono::milliseconds aBound) noexcept
  : mBound(aBound)
{
}

void
freshness::MarkVerified(clock::time_point aAt) noexcept
{
  mProvedAt = std::max(mProvedAt, aAt);
}

bool
freshness::Holds(clock::time_point aNow) const noexcept
{
  return !IsBounded() || (mProvedAt != clock::time_point{} &&
                          aNow < mProvedAt + mBound - kReserve);
}

} // namespace currantshed::customer
