#include "currantshed/customer/token_buckets.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::customer {

namespace {

using std::chrono::milliseconds;

// What all banks together hold of a customer's tokens beyond its burst, which
// the rule on quotas leaves room for: customers with a burst of less than an
// operation a bank could begin none.
constexpr double kBeyondBurst = 12;
// The part of a burst that can be saved up where the rest is spread over the
// window: both fit into one window with what the rule leaves room for.
constexpr double kSavedPart = 0.3;
constexpr milliseconds kSoonest{ 100 };
constexpr milliseconds kLatest{ 2000 };

} // namespace

token_buckets::token_buckets(milliseconds aWindow) noexcept
  : mWindow(aWindow)
{
}

void
token_buckets::AddShare(const std::string& aVm,
                        std::uint64_t aIncarnation,
                        std::chrono::microseconds aSentAt,
                        std::size_t aPart,
                        share aShare)
{
  if (aPart >= kPartitions) {
    return;
  }
  auto& from = mDepositors[aVm][aPart];
  if (from.incarnation == aIncarnation && aSentAt <= from.sentAt) {
    return;
  }
  from = { aIncarnation, aSentAt };
  mDeposited[aPart] += aShare;
}

// What can be saved up.
double
token_buckets::Most(const quota& aLimit) const noexcept
{
  const double part = mWindow.count() > 0 ? kSavedPart : 1.0;
  return (aLimit.burst * part + kBeyondBurst) / static_cast<double>(mBanks);
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
  // A customer that was not seen here before has what a rest would have left
  // it, as far as shares came in.
  auto& held = mAccounts[aCustomer];
  const auto deposited = mDeposited[PartitionOf(aCustomer)];
  const auto since = (deposited - held.counted).count();
  held.counted = deposited;
  held.tokens = std::min(held.tokens + Rate(aLimit) * since, Most(aLimit));
  const auto whole = std::floor(std::max(held.tokens, 0.0));
  const auto count =
    static_cast<unsigned>(std::min(whole, static_cast<double>(aWanted)));
  held.tokens -= count;
  if (count > 0) {
    held.refused = 0;
    return { count };
  }
  held.refused += aWanted;
  const double rate =
    std::max(Rate(aLimit) / static_cast<double>(mBanks), 1e-3);
  const auto until = std::chrono::duration<double>(
    (static_cast<double>(held.refused) - held.tokens) / rate);
  const auto bounded = std::min(until, std::chrono::duration<double>(kLatest));
  return {
    0, std::max(kSoonest, std::chrono::duration_cast<milliseconds>(bounded))
  };
}

} // namespace currantshed::customer
