#include "currantshed/customer/token_buckets.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::customer {

namespace {

using std::chrono::milliseconds;

// Tokens beyond its burst that all quota coordinators together hold for a
// customer, within the tolerance of the rule on quotas. Without them, a
// customer whose burst is less than one operation per quota coordinator could
// start none.
constexpr double kCapacityBeyondBurst = 12;
// The part of a burst that can be saved up if the rest is spread over the
// window. Both fit into one window within the tolerance of the rule on quotas.
constexpr double kSavedFraction = 0.3;
// Incarnations of a VM whose shares are told apart. A restart takes some
// hundreds of milliseconds, and no older message than that is accepted.
constexpr std::size_t kKnownIncarnations = 4;
constexpr milliseconds kMinRetryDelay{ 100 };
constexpr milliseconds kMaxRetryDelay{ 2000 };

} // namespace

token_buckets::token_buckets(milliseconds aWindow) noexcept
  : mWindow(aWindow)
{
}

void
token_buckets::AddShare(const std::string& aVm,
                        std::uint64_t aIncarnation,
                        std::chrono::microseconds aSentAt,
                        std::size_t aPartition,
                        share aShare)
{
  if (aPartition >= kPartitions) {
    return;
  }
  auto& from = mSenders[aVm][aPartition];
  const auto known =
    std::find_if(from.begin(), from.end(), [aIncarnation](const auto& aOne) {
      return aOne.incarnation == aIncarnation;
    });
  if (known != from.end()) {
    if (aSentAt <= known->sentAt) {
      return;
    }
    known->sentAt = aSentAt;
  } else {
    if (from.size() == kKnownIncarnations) {
      from.erase(from.begin());
    }
    from.push_back({ aIncarnation, aSentAt });
  }
  mAccrued[aPartition] += aShare;
}

// Capacity of a customer's bucket.
double
token_buckets::Capacity(const quota& aLimit) const noexcept
{
  const double part = mWindow.count() > 0 ? kSavedFraction : 1.0;
  return (aLimit.burst * part + kCapacityBeyondBurst) /
         static_cast<double>(mCoordinatorCount);
}

double
token_buckets::Rate(const quota& aLimit) const noexcept
{
  return mWindow.count() > 0 ? aLimit.perSecond + aLimit.burst / mWindow.count()
                             : aLimit.perSecond;
}

token_grant
token_buckets::GrantTokens(const std::string& aCustomer,
                           const quota& aLimit,
                           unsigned aWanted)
{
  // A new bucket gets the shares collected so far, up to its capacity, as if
  // the customer had been idle.
  auto& bucket = mBuckets[aCustomer];
  const auto accrued = mAccrued[PartitionOf(aCustomer)];
  const auto added = (accrued - bucket.counted).count();
  bucket.counted = accrued;
  bucket.tokens =
    std::min(bucket.tokens + Rate(aLimit) * added, Capacity(aLimit));
  const auto available = std::floor(std::max(bucket.tokens, 0.0));
  const auto count =
    static_cast<unsigned>(std::min(available, static_cast<double>(aWanted)));
  bucket.tokens -= count;
  if (count > 0) {
    bucket.refused = 0;
    return { count };
  }
  bucket.refused += aWanted;
  const double rate =
    std::max(Rate(aLimit) / static_cast<double>(mCoordinatorCount), 1e-3);
  const auto until = std::chrono::duration<double>(
    (static_cast<double>(bucket.refused) - bucket.tokens) / rate);
  const auto bounded =
    std::min(until, std::chrono::duration<double>(kMaxRetryDelay));
  return { 0,
           std::max(kMinRetryDelay,
                    std::chrono::duration_cast<milliseconds>(bounded)) };
}

} // namespace currantshed::customer
