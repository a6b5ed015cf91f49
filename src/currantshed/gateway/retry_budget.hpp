#ifndef CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP
#define CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Keeps retries to a share of the requests, so that they never pile up on
/// what is already in trouble.
class retry_budget
{
public:
  /// aDepositPerRequest is the retries that each request earns; aCapacity is
  /// the most that can be saved up, and what there is at the start.
  retry_budget(double aDepositPerRequest, double aCapacity) noexcept;

  /// Counts one request.
  void Deposit() noexcept;

  /// Takes one retry; false when there is none left.
  [[nodiscard]] bool TryWithdraw() noexcept;

private:
  double mDepositPerRequest;
  double mCapacity;
  double mBalance;
};

} // namespace currantshed::gateway

#endif
