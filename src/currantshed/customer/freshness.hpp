#ifndef CURRANTSHED_CUSTOMER_FRESHNESS_HPP
#define CURRANTSHED_CUSTOMER_FRESHNESS_HPP

#include <chrono>

#include "currantshed/clock/time.hpp"

namespace currantshed::customer {

/// Limits the age of the configuration in force. No operation may run with a
/// key later than a fixed bound after operators revoked it, not even at a VM
/// that is cut off. A VM therefore trusts its keys only for a limited time
/// after a moment at which the store is known to have held nothing newer. That
/// moment is the time at which a call was sent whose response showed it; a
/// message from another VM may pass on such a time, converted so that it is not
/// later than the true one. A pending watch or a renewed lease says nothing
/// about the content of the store and does not count.
class freshness
{
public:
  /// Keys may be trusted for aBound after their revocation was acknowledged.
  /// Zero disables the limit.
  explicit freshness(std::chrono::milliseconds aBound) noexcept;

  /// Records that at aAt the store held nothing newer than what is in force.
  void MarkVerified(clock::time_point aAt) noexcept;

  /// Whether keys may be trusted now.
  [[nodiscard]] bool Holds(clock::time_point aNow) const noexcept;

  /// Whether the store is known to have held no newer keys than those in force
  /// at aAt.
  [[nodiscard]] bool Covers(clock::time_point aAt) const noexcept
  {
    return !IsBounded() || mVerifiedAt >= aAt;
  }

  [[nodiscard]] bool IsBounded() const noexcept { return mBound.count() != 0; }
  [[nodiscard]] clock::time_point VerifiedAt() const noexcept
  {
    return mVerifiedAt;
  }

private:
  std::chrono::milliseconds mBound;
  clock::time_point mVerifiedAt{};
};

} // namespace currantshed::customer

#endif
