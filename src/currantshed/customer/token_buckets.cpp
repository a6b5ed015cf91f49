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
// Span over which a coordinator measures the shares that it gets: five of the
// intervals at which VMs send them.
constexpr milliseconds kArrivalWindow{ 2000 };
// Shares arrive unevenly: up to one interval of five may be missing.
constexpr double kArrivalTolerance = 0.2;
// A bucket that could not save one token would never grant any.
constexpr double kMinCapacity = 1.0;
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
                        share aShare,
                        clock::time_point aNow)
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
  auto& arrived = mArrivals[aPartition];
  arrived.recent.push_back({ aNow, aShare });
  arrived.sum += aShare;
  if (!arrived.firstAt) {
    arrived.firstAt = aNow;
  }
}

// The part of its capacity that this coordinator may use: the shares that it
// gets, in relation to those that it would get if each VM sent its shares to
// the coordinator of its own failure domain. While coordinators change, several
// VMs hold buckets of one customer, and one that gets no shares any longer
// would keep what it has saved.
double
token_buckets::CapacityFactor(std::size_t aPartition, clock::time_point aNow)
{
  auto& arrived = mArrivals.at(aPartition);
  while (!arrived.recent.empty() &&
         aNow - arrived.recent.front().at >= kArrivalWindow) {
    arrived.sum -= arrived.recent.front().amount;
    arrived.recent.pop_front();
  }
  if (!arrived.firstAt || aNow - *arrived.firstAt < kArrivalWindow) {
    return 1.0;
  }
  const std::chrono::duration<double> window = kArrivalWindow;
  const auto part =
    arrived.sum / window * static_cast<double>(mCoordinatorCount);
  return std::clamp(part + kArrivalTolerance, 0.0, 1.0);
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
                           unsigned aWanted,
                           clock::time_point aNow)
{
  // A new bucket gets the shares collected so far, up to its capacity, as if
  // the customer had been idle.
  auto& bucket = mBuckets[aCustomer];
  const auto partition = PartitionOf(aCustomer);
  const auto accrued = mAccrued[partition];
  const auto added = (accrued - bucket.counted).count();
  bucket.counted = accrued;
  bucket.tokens = std::min(
    bucket.tokens + Rate(aLimit) * added,
    std::max(Capacity(aLimit) * CapacityFactor(partition, aNow), kMinCapacity));
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
