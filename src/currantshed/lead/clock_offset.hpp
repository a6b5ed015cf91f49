#ifndef CURRANTSHED_LEAD_CLOCK_OFFSET_HPP
#define CURRANTSHED_LEAD_CLOCK_OFFSET_HPP

#include <chrono>
#include <optional>

#include "currantshed/clock/time.hpp"

namespace currantshed::lead {

/// What must be added to a time of the own steady clock to get a time of
/// another VM's steady clock, at the least. Each message that tells when it
/// was sent gives a lower bound, short of the truth by the time that it
/// travelled; the highest bound is kept. A time turned over by a lower bound
/// looks older to the other VM than it is, never newer.
class clock_offset
{
public:
  /// A message sent at that time of the other VM's clock came.
  void AddSample(std::chrono::microseconds aSentAt, clock::time_point aNow);

  /// The bound, none before the first message.
  [[nodiscard]] std::optional<std::chrono::microseconds> LowerBound(
    clock::time_point aNow) const;

private:
  std::optional<std::chrono::microseconds> mBound;
  clock::time_point mHeardAt;
};

/// The time of the own steady clock as another VM is told it.
[[nodiscard]] std::chrono::microseconds
ToWire(clock::time_point aTime);

[[nodiscard]] clock::time_point
FromWire(std::chrono::microseconds aTime);

} // namespace currantshed::lead

#endif
