#ifndef CURRANTSHED_CUSTOMER_TOKEN_BUCKETS_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_BUCKETS_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/customer/directory.hpp"
#include "currantshed/customer/partition.hpp"
#include "currantshed/customer/token_accrual.hpp"

namespace currantshed::customer {

/// The response to a request for tokens.
struct token_grant
{
  unsigned count = 0;
  /// If no tokens were granted, when to retry.
  std::chrono::milliseconds retryAfter{ 0 };
};

/// The token buckets of customers at a VM that collects the shares of its
/// failure domain. A token permits one operation of the customer to start. A
/// new bucket is empty, and its content is limited so that no time window has
/// more operations than the customer's rate over the window and its burst
/// allow. A customer with constant excess demand gets as many in every window;
/// one that returns from an idle period finds part of its burst. Does not read
/// the clock.
class token_buckets
{
public:
  /// aWindow is the window in which operations are counted. Zero: a customer
  /// may save up its whole burst.
  explicit token_buckets(std::chrono::milliseconds aWindow) noexcept;

  /// Sets the number of quota coordinators that hold buckets. Each holds an
  /// equal part of a burst.
  void SetCoordinatorCount(std::size_t aCount) noexcept
  {
    mCoordinatorCount = aCount;
  }

  /// Adds the share of a VM for one partition. A message that arrives twice, or
  /// after a later one of the same incarnation of the VM, is ignored, also if a
  /// newer incarnation has sent one meanwhile. aSentAt is the time on the
  /// sender's clock, in that incarnation.
  void AddShare(const std::string& aVm,
                std::uint64_t aIncarnation,
                std::chrono::microseconds aSentAt,
                std::size_t aPartition,
                share aShare,
                clock::time_point aNow);

  [[nodiscard]] token_grant GrantTokens(const std::string& aCustomer,
                                        const quota& aLimit,
                                        unsigned aWanted,
                                        clock::time_point aNow);

private:
  struct sender
  {
    std::uint64_t incarnation = 0;
    std::chrono::microseconds sentAt{};
  };

  struct bucket
  {
    double tokens = 0;
    /// The shares that are already counted in tokens.
    share counted{ 0 };
    /// Operations refused since the last grant.
    unsigned refused = 0;
  };

  struct received_share
  {
    clock::time_point at;
    share amount{ 0 };
  };

  /// The shares of a partition that arrived lately.
  struct arrivals
  {
    std::deque<received_share> recent;
    share sum{ 0 };
    std::optional<clock::time_point> firstAt;
  };

  [[nodiscard]] double CapacityFactor(std::size_t aPartition,
                                      clock::time_point aNow);
  [[nodiscard]] double Capacity(const quota& aLimit) const noexcept;
  [[nodiscard]] double Rate(const quota& aLimit) const noexcept;

  std::chrono::duration<double> mWindow;
  std::size_t mCoordinatorCount = 1;
  std::array<share, kPartitions> mAccrued{};
  std::array<arrivals, kPartitions> mArrivals{};
  /// By VM and partition, the incarnations in the order in which they were
  /// first heard of.
  absl::flat_hash_map<std::string,
                      std::array<absl::InlinedVector<sender, 1>, kPartitions>>
    mSenders;
  absl::flat_hash_map<std::string, bucket> mBuckets;
};

} // namespace currantshed::customer

#endif
