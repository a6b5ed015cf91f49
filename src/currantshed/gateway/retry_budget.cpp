#include "currantshed/gateway/retry_budget.hpp"

#include <algorithm>

namespace currantshed::gateway {

retry_budget::retry_budget(double aShare, double aBurst) noexcept
  : mShare(aShare)
  , mBurst(aBurst)
  , mLeft(aBurst)
{
}

void
retry_budget::Earn() noexcept
{
  mLeft = std::min(mBurst, mLeft + mShare);
}

bool
retry_budget::Spend() noexcept
{
  if (mLeft < 1) {
    return false;
  }
  mLeft -= 1;
  return true;
}

} // namespace currantshed::gateway
