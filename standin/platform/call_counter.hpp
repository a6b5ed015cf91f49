#ifndef CURRANTSHED_STANDIN_PLATFORM_CALL_COUNTER_HPP
#define CURRANTSHED_STANDIN_PLATFORM_CALL_COUNTER_HPP

#include <array>
#include <cstdint>
#include <string>

#include "currantshed/clock/time.hpp"
#include "standin/platform/call.hpp"

namespace currantshed::standin {

/// Rate limits of the platform; zero disables a limit.
struct rate_limits
{
  unsigned readsPerSecond = 0;
  unsigned writesPerSecond = 0;
};

/// Counts calls in total and per second, and rejects those above the limits.
/// Watches and lists count as reads, sessions as writes. Seconds are counted
/// from the first call.
class call_counter
{
public:
  explicit call_counter(rate_limits aLimits);

  /// Counts a call; false if it is above the limit.
  [[nodiscard]] bool Admit(call_kind aKind, clock::time_point aNow);

  /// Resets all counts; the limits stay.
  void Reset();

  /// The counts as JSON, including the given number of waiting watches.
  [[nodiscard]] std::string ToJson(std::size_t aWaitingWatches,
                                   clock::time_point aNow);

private:
  using kind_counts = std::array<std::uint64_t, kCountedKinds>;

  void AdvanceTo(clock::time_point aNow);

  rate_limits mLimits;
  bool mStarted = false;
  clock::time_point mSecondStart{};
  kind_counts mTotal{};
  kind_counts mThisSecond{};
  kind_counts mLastSecond{};
  kind_counts mPeak{};
  std::uint64_t mPeakAll = 0;
  std::uint64_t mRefused = 0;
};

} // namespace currantshed::standin

#endif
