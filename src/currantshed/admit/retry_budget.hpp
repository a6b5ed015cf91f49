#ifndef CURRANTSHED_ADMIT_RETRY_BUDGET_HPP
#define CURRANTSHED_ADMIT_RETRY_BUDGET_HPP

#include "currantshed/admit/fwd.hpp"

namespace currantshed::admit {

/// Limits the load added by retries. Each first attempt deposits a fraction of
/// a retry, up to a small capacity. Retries thus remain a small share of the
/// load when many requests fail, while a single failure can always be retried.
class retry_budget
{
public:
  /// Initial and maximum number of retries, for a sender with some thousand
  /// first attempts per second.
  static constexpr double kDefaultCapacity = 50.0;

  explicit retry_budget(double aCapacity = kDefaultCapacity) noexcept;

  /// Records a first attempt.
  void Deposit() noexcept;

  /// Takes one retry from the budget; false if there is none.
  [[nodiscard]] bool TryWithdraw() noexcept;

private:
  static constexpr double kDepositPerAttempt = 0.1;

  double mCapacity;
  double mBalance;
};

} // namespace currantshed::admit

#endif
