#ifndef CURRANTSHED_LOG_LINE_BUDGET_HPP
#define CURRANTSHED_LOG_LINE_BUDGET_HPP

#include <cstdint>

#include "currantshed/clock/time.hpp"

namespace currantshed::log {

/// Bounds the lines a second that a process writes, and counts those that it
/// leaves out.
class line_budget
{
public:
  /// Lines a second, and lines that may come at once.
  line_budget(double aPerSecond, double aBurst) noexcept;

  /// Whether one more line may be written now. Lines that matter more may
  /// also use what is kept back from others.
  [[nodiscard]] bool Take(bool aMattersMore, clock::time_point aNow) noexcept;

  /// A line could not be written.
  void NoteDropped() noexcept { ++mDropped; }

  /// Lines left out since this was last asked.
  [[nodiscard]] std::uint64_t TakeDropped() noexcept;

private:
  double mPerSecond;
  double mBurst;
  double mLeft;
  clock::time_point mFilledAt{};
  std::uint64_t mDropped = 0;
};

} // namespace currantshed::log

#endif
