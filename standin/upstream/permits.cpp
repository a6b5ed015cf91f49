#include "standin/upstream/permits.hpp"

#include <algorithm>

namespace currantshed::standin::postgres {

permits::permits(std::size_t aCount) noexcept
  : mCount(aCount)
{
}

bool
permits::Take(permit_waiter& aWaiter)
{
  if (mInUse < mCount) {
    ++mInUse;
    mPeak = std::max(mPeak, mInUse);
    return true;
  }
  mWaiters.push_back(&aWaiter);
  return false;
}

void
permits::Release()
{
  if (mWaiters.empty()) {
    --mInUse;
    return;
  }
  auto* next = mWaiters.front();
  mWaiters.pop_front();
  next->Granted();
}

void
permits::Forget(const permit_waiter& aWaiter)
{
  std::erase(mWaiters, &aWaiter);
}

std::size_t
permits::InUse() const noexcept
{
  return mInUse;
}

std::size_t
permits::Peak() const noexcept
{
  return mPeak;
}

} // namespace currantshed::standin::postgres
