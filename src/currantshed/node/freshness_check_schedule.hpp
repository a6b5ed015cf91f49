#ifndef CURRANTSHED_NODE_FRESHNESS_CHECK_SCHEDULE_HPP
#define CURRANTSHED_NODE_FRESHNESS_CHECK_SCHEDULE_HPP

#include <chrono>
#include <cstddef>

#include "currantshed/clock/time.hpp"

namespace currantshed::node {

/// Schedules this VM's requests to the store that verify that its configuration
/// is still the newest. The VMs are ranked: the first one asks often enough for
/// all and sends the result to the others. A VM of a later rank asks only if no
/// verification has arrived for longer, since the VMs before it have failed or
/// are cut off. Does not read the clock.
class freshness_check_schedule
{
public:
  /// Sets the VM's rank; rank zero asks first.
  void SetRank(std::size_t aRank) noexcept { mRank = aRank; }

  /// Returns when to ask next, given the time of the latest verification.
  [[nodiscard]] clock::time_point NextCheck(
    clock::time_point aVerifiedAt) const noexcept;

  void OnRequestSent() noexcept { mIsInFlight = true; }
  void OnResponse(bool aIsVerified, clock::time_point aNow) noexcept;

private:
  std::size_t mRank = 0;
  unsigned mFailures = 0;
  bool mIsInFlight = false;
  clock::time_point mNotBefore{};
};

} // namespace currantshed::node

#endif
