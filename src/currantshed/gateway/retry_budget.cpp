#include "currantshed/gateway/retry_budget.hpp"

#include <algorithm>

namespace currantshed::gateway {

retry_budget::retry_budget(double aDepositPerRequest, double aCapacity) noexcept
  : mDepositPerRequest(aDepositPerRequest)
  , mCapacity(aCapacity)
  , mBalance(aCapacity)
{
}

void
retry_budget::Deposit() noexcept
{
  mBalance = std::min(mCapacity, mBalance + mDepositPerRequest);
}

bool
retry_budget::TryWithdraw() noexcept
{
  if (mBalance < 1) {
    return false;
  }
  mBalance -= 1;
  return true;
}

} // namespace currantshed::gateway
