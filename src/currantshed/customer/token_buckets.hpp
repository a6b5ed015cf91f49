#ifndef CURRANTSHED_CUSTOMER_TOKEN_BUCKETS_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_BUCKETS_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/customer/partition.hpp"
#include "currantshed/customer/token_accrual.hpp"

namespace currantshed::customer {

/// What a VM gets that asks for tokens.
struct token_grant
{
  unsigned count = 0;
  /// When there is nothing: when to ask again.
  std::chrono::milliseconds retryAfter{ 0 };
};

/// The tokens of customers at a VM that collects shares of its failure domain.
/// A token lets one operation of the customer begin. A bank that starts is
/// empty; what it holds is bounded, so that no window of time sees more
/// operations than the customer's rate over it and its burst. A customer that
/// asks for more all the time gets as much in every window; one that comes
/// after a rest finds part of its burst. Asks for no time.
class token_buckets
{
public:
  /// The window in which operations are counted; zero where a customer's burst
  /// is what it may save up.
  explicit token_buckets(std::chrono::milliseconds aWindow) noexcept;

  /// How many banks hold tokens: each holds that part of a burst.
  void SetCoordinatorCount(std::size_t aBanks) noexcept { mBanks = aBanks; }

  /// A VM hands its share on, of the customers of one part. It counts once: not
  /// a second time when the message comes twice, nor when an older one comes
  /// later. aSentAt is the sender's clock, in its present life.
  void AddShare(const std::string& aVm,
                std::uint64_t aIncarnation,
                std::chrono::microseconds aSentAt,
                std::size_t aPart,
                share aShare);

  [[nodiscard]] token_grant GrantTokens(const std::string& aCustomer,
                                        const quota& aLimit,
                                        unsigned aWanted);

private:
  struct depositor
  {
    std::uint64_t incarnation = 0;
    std::chrono::microseconds sentAt{};
  };

  struct account
  {
    double tokens = 0;
    /// The shares that are counted in.
    share counted{ 0 };
    /// Operations refused since the last that was granted.
    unsigned refused = 0;
  };

  [[nodiscard]] double Most(const quota& aLimit) const noexcept;
  [[nodiscard]] double Rate(const quota& aLimit) const noexcept;

  std::chrono::duration<double> mWindow;
  std::size_t mBanks = 1;
  std::array<share, kPartitions> mDeposited{};
  /// By VM, for each part.
  absl::flat_hash_map<std::string, std::array<depositor, kPartitions>>
    mDepositors;
  absl::flat_hash_map<std::string, account> mAccounts;
};

} // namespace currantshed::customer

#endif
