#include "currantshed/customer/token_bank.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::customer {

namespace {

using std::chrono::milliseconds;

// What all banks together hold of a customer's tokens beyond its burst, which
// the rule on quotas leaves room for: customers with a burst of less than an
// operation a bank could begin none.
constexpr double kBeyondBurst = 12;
constexpr milliseconds kSoonest{ 100 };
constexpr milliseconds kLatest{ 2000 };

} // namespace

void
token_bank::Deposit(const std::string& aVm,
                    std::uint64_t aIncarnation,
                    std::chrono::microseconds aSentAt,
                    share aShare)
{
  auto& from = mDepositors[aVm];
  if (from.incarnation == aIncarnation && aSentAt <= from.sentAt) {
    return;
  }
  from = { aIncarnation, aSentAt };
  mDeposited += aShare;
}

double
token_bank::Most(const quota& aLimit) const noexcept
{
  return (aLimit.burst + kBeyondBurst) / static_cast<double>(mBanks);
}

token_grant
token_bank::Withdraw(const std::string& aCustomer,
                     const quota& aLimit,
                     unsigned aWanted)
{
  // A customer that was not seen here before has what a rest would have left
  // it, as far as shares came in.
  auto& held = mAccounts[aCustomer];
  const auto since = (mDeposited - held.counted).count();
  held.counted = mDeposited;
  held.tokens = std::min(held.tokens + aLimit.perSecond * since, Most(aLimit));
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
    std::max(aLimit.perSecond / static_cast<double>(mBanks), 1e-3);
  const auto until = std::chrono::duration<double>(
    (static_cast<double>(held.refused) - held.tokens) / rate);
  const auto bounded = std::min(until, std::chrono::duration<double>(kLatest));
  return {
    0, std::max(kSoonest, std::chrono::duration_cast<milliseconds>(bounded))
  };
}

} // namespace currantshed::customer
