#ifndef CURRANTSHED_CONFIRM_POSITION_SAMPLES_HPP
#define CURRANTSHED_CONFIRM_POSITION_SAMPLES_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/position/log_position.hpp"

namespace currantshed::confirm {

/// Where a primary's log stood at known times. Whoever sees a sample's
/// position sees all that was acknowledged before the sample's date; that is
/// how the age of a replica's data is bounded. Memory is bounded: old samples
/// are thinned out, which makes data look older than it is, never newer.
class position_samples
{
public:
  /// Adds a sample dated by when the question was sent. Ignored when it is
  /// older than the newest one, or goes back.
  void Add(const position::log_position& aPosition, clock::time_point aDate);

  /// Date of the newest sample that the position covers.
  [[nodiscard]] std::optional<clock::time_point> CurrentAsOf(
    const position::log_position& aPosition) const;

  /// The lowest position that is as new as the given date; none when there
  /// is no sample from then or later.
  [[nodiscard]] std::optional<position::log_position> LowestSince(
    clock::time_point aDate) const;

  /// The newest position; none when there is no sample.
  [[nodiscard]] std::optional<position::log_position> Newest() const;

  /// Date of the first sample that covers the position: it was written by
  /// then. None when no sample covers it.
  [[nodiscard]] std::optional<clock::time_point> WrittenBy(
    const position::log_position& aPosition) const;

private:
  struct sample
  {
    position::log_position position;
    /// When the log was first known to stand there.
    clock::time_point from;
    /// When it last did.
    clock::time_point date;
  };

  void ThinOut();

  // Both position and date go up.
  std::vector<sample> mSamples;
};

} // namespace currantshed::confirm

#endif
