#ifndef CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP
#define CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Token bucket that limits retries to a fraction of the requests, so that
/// retries do not add to an overload.
class retry_budget
{
public:
  /// aDepositPerRequest is the number of retries added per request; aCapacity
  /// is the upper limit and the initial balance.
  retry_budget(double aDepositPerRequest, double aCapacity) noexcept;

  /// Adds the deposit of one request.
  void Deposit() noexcept;

  /// Withdraws one retry; returns false if the balance is below one.
  [[nodiscard]] bool TryWithdraw() noexcept;

private:
  double mDepositPerRequest;
  double mCapacity;
  double mBalance;
};

} // namespace currantshed::gateway

#endif
