#ifndef CURRANTSHED_ADMIT_RETRY_BUDGET_HPP
#define CURRANTSHED_ADMIT_RETRY_BUDGET_HPP

#include "currantshed/admit/fwd.hpp"

namespace currantshed::admit {

/// Bounds the work that retries add: each first try earns a part of a retry,
/// up to a small store, so that retries stay a small share of the load when
/// much fails, and a single failure is always retried.
class retry_budget
{
public:
  /// Retries in store at first and at most, for a sender that makes some
  /// thousand first tries a second.
  static constexpr double kDefaultCapacity = 50.0;

  explicit retry_budget(double aCapacity = kDefaultCapacity) noexcept;

  /// A first try was made.
  void Deposit() noexcept;

  /// Takes one retry if there is one.
  [[nodiscard]] bool TryWithdraw() noexcept;

private:
  static constexpr double kDepositPerAttempt = 0.1;

  double mCapacity;
  double mBalance;
};

} // namespace currantshed::admit

#endif
