#include "currantshed/node/failover_orders.hpp"

#include <algorithm>

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Maximum time between reading from the store that the lock is still held and
// writing the promotion order.
constexpr milliseconds kMaxLockCheckAge{ 300 };
// Remaining lease time that is required for an order to be written. The
// platform answers within 250 ms when it is slow.
constexpr milliseconds kMinLeaseRemaining{ 500 };

} // namespace

milliseconds
OrderTimeLeft(const order_right& aRight, clock::time_point aNow) noexcept
{
  const auto lease = std::chrono::duration_cast<milliseconds>(
    std::max(aRight.leaseUntil, aNow) - aNow);
  const bool mayWrite = aRight.isWanted &&
                        aNow < aRight.checkedAt + kMaxLockCheckAge &&
                        lease > kMinLeaseRemaining;
  return mayWrite ? lease : milliseconds::zero();
}

bool
failover_orders::MayOrder(const std::string& aService) const
{
  return !mIsStopping && !mInProgress.contains(aService);
}

void
failover_orders::Begin(const std::string& aService)
{
  mInProgress.insert(aService);
}

void
failover_orders::End(const std::string& aService)
{
  mInProgress.erase(aService);
}

} // namespace currantshed::node
