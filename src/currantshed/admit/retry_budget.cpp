#include "currantshed/admit/retry_budget.hpp"

#include <algorithm>

namespace currantshed::admit {

retry_budget::retry_budget(double aCapacity) noexcept
  : mCapacity(aCapacity)
  , mBalance(aCapacity)
{
}

void
retry_budget::Deposit() noexcept
{
  mBalance = std::min(mBalance + kDepositPerAttempt, mCapacity);
}

bool
retry_budget::TryWithdraw() noexcept
{
  if (mBalance < 1.0) {
    return false;
  }
  mBalance -= 1.0;
  return true;
}

} // namespace currantshed::admit
