#include "currantshed/admit/retry_budget.hpp"

#include <algorithm>

namespace currantshed::admit {

retry_budget::retry_budget(double aStore) noexcept
  : mMost(aStore)
  , mRetries(aStore)
{
}

void
retry_budget::Earn() noexcept
{
  mRetries = std::min(mRetries + kEarned, mMost);
}

bool
retry_budget::Spend() noexcept
{
  if (mRetries < 1.0) {
    return false;
  }
  mRetries -= 1.0;
  return true;
}

} // namespace currantshed::admit
