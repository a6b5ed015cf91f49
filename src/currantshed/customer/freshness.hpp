#ifndef CURRANTSHED_CUSTOMER_FRESHNESS_HPP
#define CURRANTSHED_CUSTOMER_FRESHNESS_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// How old the configuration in force may be at most. A key that operators took
/// away must run nothing after a bound, at VMs that are cut off as well: so a
/// VM trusts its keys only for a while after a moment at which nothing newer
/// stood in the store. That moment is when a call was sent whose answer showed
/// so; another VM's word gives one no later than its own. What says nothing of
/// the state of the store, a watch that waits or a lease renewed, counts for
/// nothing.
class freshness
{
public:
  /// Keys that were taken away may be trusted for the bound after that was
  /// acknowledged. Zero: no such bound.
  explicit freshness(std::chrono::milliseconds aBound) noexcept;

  /// Nothing newer than what is in force stood in the store at that time.
  void MarkVerified(clock::time_point aAt) noexcept;

  /// Whether keys may be trusted now.
  [[nodiscard]] bool Holds(clock::time_point aNow) const noexcept;

  /// Whether the store had no newer keys than those in force at that time.
  [[nodiscard]] bool Covers(clock::time_point aAt) const noexcept
  {
    return !IsBounded() || mProvedAt >= aAt;
  }

  [[nodiscard]] bool IsBounded() const noexcept { return mBound.count() != 0; }
  [[nodiscard]] clock::time_point VerifiedAt() const noexcept
  {
    return mProvedAt;
  }

private:
  std::chrono::milliseconds mBound;
  clock::time_point mProvedAt{};
};

} // namespace currantshed::customer

#endif
