#ifndef CURRANTSHED_ADMIT_DRAIN_METER_HPP
#define CURRANTSHED_ADMIT_DRAIN_METER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "currantshed/admit/fwd.hpp"
#include "currantshed/clock/time.hpp"

namespace currantshed::admit {

/// Measures how fast a queue drains: the mean time between departures while
/// requests wait, with newer ones weighing more. A single long gap, as a
/// failover makes, counts for little.
class drain_meter
{
public:
  /// A request left the queue for a server; aWaiting are left behind.
  void Departed(std::size_t aWaiting, clock::time_point aNow);

  /// Time until so many requests have left, at the measured rate; none
  /// before anything was measured.
  [[nodiscard]] std::optional<clock::duration> TimeToDrain(
    std::size_t aRequests) const;

private:
  // Whether requests waited behind the last departure, which makes the time
  // since then a time of draining.
  bool mBusy = false;
  clock::time_point mLast{};
  std::optional<std::chrono::duration<double>> mGap;
};

/// Spreads times to come back: the time given, lengthened by up to a half of
/// it, by a hash of the request's number.
[[nodiscard]] std::chrono::milliseconds
AddJitter(clock::duration aTime, std::uint64_t aRequest);

} // namespace currantshed::admit

#endif
