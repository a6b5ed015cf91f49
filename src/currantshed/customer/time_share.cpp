#include "currantshed/customer/time_share.hpp"

#include <algorithm>

namespace currantshed::customer {

namespace {

// Longer than VMs take between two times; what is handed on at once stays small
// beside the burst that a customer is allowed.
constexpr std::chrono::milliseconds kLongest{ 1000 };

} // namespace

void
time_share::Begin(clock::time_point aNow) noexcept
{
  if (!mTakenAt) {
    mTakenAt = aNow;
  }
}

share
time_share::Take(std::size_t aVms, clock::time_point aNow) noexcept
{
  if (!mTakenAt || aVms == 0 || aNow <= *mTakenAt) {
    return share{ 0 };
  }
  const auto passed = std::min<clock::duration>(aNow - *mTakenAt, kLongest);
  mTakenAt = aNow;
  return share{ passed } / static_cast<double>(aVms);
}

} // namespace currantshed::customer
