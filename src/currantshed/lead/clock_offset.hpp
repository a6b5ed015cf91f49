#ifndef CURRANTSHED_LEAD_CLOCK_OFFSET_HPP
#define CURRANTSHED_LEAD_CLOCK_OFFSET_HPP

#include <chrono>
#include <optional>

#include "currantshed/clock/time.hpp"

namespace currantshed::lead {

/// A lower bound of the offset from this VM's steady clock to another VM's
/// steady clock. Each message that carries its time of sending yields a bound
/// that is too low by the transit time; the highest bound is kept. A local time
/// converted with a lower bound looks older to the other VM than it is, never
/// newer.
class clock_offset
{
public:
  /// Records a message that the other VM sent at that time of its clock.
  void AddSample(std::chrono::microseconds aSentAt, clock::time_point aNow);

  /// The lower bound, reduced for clock drift since the message that yielded
  /// it; empty before the first message.
  [[nodiscard]] std::optional<std::chrono::microseconds> LowerBound(
    clock::time_point aNow) const;

private:
  std::optional<std::chrono::microseconds> mBound;
  clock::time_point mSampledAt;
};

/// A local steady-clock time as it is sent to other VMs.
[[nodiscard]] std::chrono::microseconds
ToWire(clock::time_point aTime);

[[nodiscard]] clock::time_point
FromWire(std::chrono::microseconds aTime);

} // namespace currantshed::lead

#endif
