#ifndef CURRANTSHED_CONFIRM_POSITION_SAMPLES_HPP
#define CURRANTSHED_CONFIRM_POSITION_SAMPLES_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/position/log_position.hpp"

namespace currantshed::confirm {

/// Positions of a primary's log at known times, used to bound the age of a
/// replica's data: a server that has applied a sample's position has all writes
/// acknowledged before the sample's date. Memory is bounded by thinning out old
/// samples, which can make data look older than it is but never newer.
class position_samples
{
public:
  /// Adds a sample, dated by when the status was requested. Ignored if its date
  /// is not newer or its position is lower than that of the newest sample.
  void Add(const position::log_position& aPosition, clock::time_point aDate);

  /// Date of the newest sample at or below the position; none if all samples
  /// are above it.
  [[nodiscard]] std::optional<clock::time_point> CurrentAsOf(
    const position::log_position& aPosition) const;

  /// Position of the oldest sample dated at or after aDate; none if there is no
  /// such sample.
  [[nodiscard]] std::optional<position::log_position> LowestSince(
    clock::time_point aDate) const;

  /// The newest position; none if there is no sample.
  [[nodiscard]] std::optional<position::log_position> Newest() const;

  /// First date at which the log was known to include the position, so that it
  /// was written by then; none if no sample includes it.
  [[nodiscard]] std::optional<clock::time_point> WrittenBy(
    const position::log_position& aPosition) const;

private:
  struct sample
  {
    position::log_position position;
    /// When the log was first known to be at the position.
    clock::time_point from;
    /// When it was last known to be at the position.
    clock::time_point date;
  };

  void ThinOut();

  // Sorted by position and by date.
  std::vector<sample> mSamples;
};

} // namespace currantshed::confirm

#endif
