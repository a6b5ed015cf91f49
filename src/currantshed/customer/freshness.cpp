#include "currantshed/customer/freshness.hpp"

#include <algorithm>

namespace currantshed::customer {

namespace {

// Subtracted from the bound to allow for the transit time of a request to the
// server and for clocks that run at different rates.
constexpr std::chrono::milliseconds kSafetyMargin{ 150 };

} // namespace

freshness::freshness(std::chrono::milliseconds aBound) noexcept
  : mBound(aBound)
{
}

void
freshness::MarkVerified(clock::time_point aAt) noexcept
{
  mVerifiedAt = std::max(mVerifiedAt, aAt);
}

bool
freshness::Holds(clock::time_point aNow) const noexcept
{
  return !IsBounded() || (mVerifiedAt != clock::time_point{} &&
                          aNow < mVerifiedAt + mBound - kSafetyMargin);
}

} // namespace currantshed::customer
