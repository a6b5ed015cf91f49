#ifndef CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP
#define CURRANTSHED_GATEWAY_RETRY_BUDGET_HPP

#include "currantshed/gateway/fwd.hpp"

namespace currantshed::gateway {

/// Keeps retries to a share of the requests, so that they never pile up on
/// what is already in trouble.
class retry_budget
{
public:
  /// aShare is the retries that each request earns; aBurst is the most that
  /// can be saved up, and what there is at the start.
  retry_budget(double aShare, double aBurst) noexcept;

  /// Counts one request.
  void Earn() noexcept;

  /// Takes one retry; false when there is none left.
  [[nodiscard]] bool Spend() noexcept;

private:
  double mShare;
  double mBurst;
  double mLeft;
};

} // namespace currantshed::gateway

#endif
