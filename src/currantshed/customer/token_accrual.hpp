#ifndef CURRANTSHED_CUSTOMER_TOKEN_ACCRUAL_HPP
#define CURRANTSHED_CUSTOMER_TOKEN_ACCRUAL_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// A share of the time in which customers accrue tokens, in seconds at their
/// full rate.
using share = std::chrono::duration<double>;

/// This VM's contribution to the tokens of all customers. Each VM accrues an
/// equal share of every customer's rate as time passes and hands it to a quota
/// coordinator. A share is handed out only once, so that all VMs together
/// create no more tokens than the rate allows, whatever they believe about each
/// other. A VM that counts the VMs wrongly affects its own share only.
class token_accrual
{
public:
  /// Starts accrual at the time at which the process started. The first share
  /// includes the minimum time that a VM needs to restart.
  void Begin(clock::time_point aStartedAt) noexcept;

  /// The share accrued since the last call, as one of aVms VMs. The share of a
  /// VM that was paused is limited; the rest is lost.
  [[nodiscard]] share Take(std::size_t aVms, clock::time_point aNow) noexcept;

private:
  std::optional<clock::time_point> mLastTakenAt;
};

} // namespace currantshed::customer

#endif
