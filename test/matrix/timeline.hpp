#ifndef CURRANTSHED_TEST_MATRIX_TIMELINE_HPP
#define CURRANTSHED_TEST_MATRIX_TIMELINE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "currantshed/clock/time.hpp"
#include "test/matrix/history.hpp"

namespace currantshed::matrix {

/// Virtual clock and event queue.
class timeline
{
public:
  using event = std::function<void()>;

  [[nodiscard]] clock::time_point Now() const noexcept { return mNow; }

  /// Time since the start of the run.
  [[nodiscard]] instant Since() const
  {
    return std::chrono::duration_cast<instant>(mNow - kStart);
  }

  [[nodiscard]] clock::wall_time WallNow() const
  {
    return clock::wall_time(
      std::chrono::duration_cast<clock::wall_time::duration>(
        mNow.time_since_epoch()));
  }

  /// Schedules an event; events with equal times run in the order of
  /// scheduling.
  void At(clock::time_point aTime, event aEvent)
  {
    mEvents.emplace(std::pair(std::max(aTime, mNow), ++mNumber),
                    std::move(aEvent));
  }

  void In(clock::duration aTime, event aEvent)
  {
    At(mNow + aTime, std::move(aEvent));
  }

  /// Runs all events up to the given time since the start.
  void RunUntil(instant aEnd)
  {
    const auto end = kStart + aEnd;
    while (!mEvents.empty() && mEvents.begin()->first.first <= end) {
      auto next = mEvents.extract(mEvents.begin());
      mNow = next.key().first;
      next.mapped()();
    }
    mNow = end;
  }

  /// Drops all pending events.
  void Clear() { mEvents.clear(); }

private:
  static constexpr clock::time_point kStart{ std::chrono::hours(1000) };

  clock::time_point mNow = kStart;
  std::uint64_t mNumber = 0;
  std::map<std::pair<clock::time_point, std::uint64_t>, event> mEvents;
};

} // namespace currantshed::matrix

#endif
