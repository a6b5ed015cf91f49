#ifndef CURRANTSHED_ADMIT_DRAIN_METER_HPP
#define CURRANTSHED_ADMIT_DRAIN_METER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "currantshed/admit/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::admit {

/// Measures how fast a queue drains, as an exponentially weighted mean of the
/// time between dispatches while requests wait. The effect of a single long
/// gap, as in a failover, is limited.
class drain_meter
{
public:
  /// Records the dispatch of a request that leaves aWaiting requests behind.
  void Departed(std::size_t aWaiting, clock::time_point aNow);

  /// Expected time until aRequests more requests are dispatched; none before
  /// the first measurement.
  [[nodiscard]] std::optional<clock::duration> TimeToDrain(
    std::size_t aRequests) const;

private:
  // Whether requests were waiting after the last dispatch. Only then does the
  // time since it measure the drain rate.
  bool mHadWaiting = false;
  clock::time_point mLastDispatch{};
  std::optional<std::chrono::duration<double>> mMeanGap;
};

/// Extends a retry time by up to half of it, by a hash of the request's number.
[[nodiscard]] std::chrono::milliseconds
AddJitter(clock::duration aTime, std::uint64_t aRequest);

} // namespace currantshed::admit

#endif
