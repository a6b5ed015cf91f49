#include "currantshed/customer/token_accrual.hpp"

#include <algorithm>

namespace currantshed::customer {

namespace {

// Minimum time between the end of a process and its next start. Customers
// accrue tokens during it as at any other time; if all VMs restart together, no
// other VM has accrued them.
constexpr std::chrono::milliseconds kMinRestartTime{ 400 };
// Longer than the interval between two calls of a VM. Keeps a share that is
// handed out at once small compared with the burst of a customer.
constexpr std::chrono::milliseconds kMaxShare{ 1000 };

} // namespace

void
token_accrual::Begin(clock::time_point aStartedAt) noexcept
{
  if (!mLastTakenAt) {
    mLastTakenAt = aStartedAt - kMinRestartTime;
  }
}

share
token_accrual::Take(std::size_t aVms, clock::time_point aNow) noexcept
{
  if (!mLastTakenAt || aVms == 0 || aNow <= *mLastTakenAt) {
    return share{ 0 };
  }
  const auto passed =
    std::min<clock::duration>(aNow - *mLastTakenAt, kMaxShare);
  mLastTakenAt = aNow;
  return share{ passed } / static_cast<double>(aVms);
}

} // namespace currantshed::customer
