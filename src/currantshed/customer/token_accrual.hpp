#ifndef CURRANTSHED_CUSTOMER_TOKEN_ACCRUAL_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_ACCRUAL_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// A part of the time in which customers earn tokens, in seconds of their whole
/// rate.
using share = std::chrono::duration<double>;

/// What this VM adds to the tokens of all customers: as time passes, each VM
/// has an equal share of every customer's rate, and hands it on. Shares are
/// handed on once and never made twice, so that whatever VMs believe of each
/// other, all together make no more tokens than the rate allows; a VM that
/// counts the fleet wrongly is wrong about its own share alone.
class token_accrual
{
public:
  /// The process has started at that time: shares are made from then on, and
  /// for the time that it takes at the least until a VM that ends is back.
  void Begin(clock::time_point aStartedAt) noexcept;

  /// What has been made since the last time, as one of so many VMs; what a VM
  /// that stood still might have made is lost.
  [[nodiscard]] share Take(std::size_t aVms, clock::time_point aNow) noexcept;

private:
  std::optional<clock::time_point> mTakenAt;
};

} // namespace currantshed::customer

#endif
