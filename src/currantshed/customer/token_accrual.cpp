#include "currantshed/customer/token_accrual.hpp"

#include <algorithm>

namespace currantshed::customer {

namespace {

// The least time between the end of a process and its next start. Customers
// earn tokens in it as at any other time, and when all VMs start again nobody
// else has kept them.
constexpr std::chrono::milliseconds kRestart{ 400 };
// Longer than VMs take between two times; what is handed on at once stays small
// beside the burst that a customer is allowed.
constexpr std::chrono::milliseconds kLongest{ 1000 };

} // namespace

void
token_accrual::Begin(clock::time_point aStartedAt) noexcept
{
  if (!mTakenAt) {
    mTakenAt = aStartedAt - kRestart;
  }
}

share
token_accrual::Take(std::size_t aVms, clock::time_point aNow) noexcept
{
  if (!mTakenAt || aVms == 0 || aNow <= *mTakenAt) {
    return share{ 0 };
  }
  const auto passed = std::min<clock::duration>(aNow - *mTakenAt, kLongest);
  mTakenAt = aNow;
  return share{ passed } / static_cast<double>(aVms);
}

} // namespace currantshed::customer
