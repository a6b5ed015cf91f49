#include "currantshed/store/call_timeout.hpp"

#include <algorithm>

namespace currantshed::store {

namespace {

using std::chrono::milliseconds;

// The store responds within milliseconds, or within 250 ms when it is slow.
constexpr milliseconds kNormalTimeout{ 1000 };
// 250 ms for a slow store, plus the transfer time of a large configuration.
constexpr milliseconds kInitialTimeout{ 400 };
constexpr milliseconds kMaxTimeout{ 4000 };
// Long, since every call has a cost.
constexpr milliseconds kMaxWatchWait{ 25000 };
// A lost watch and its repetition must fit into the history as well.
constexpr int kWatchesPerHistory = 2;

} // namespace

milliseconds
CallTimeout(clock::duration aSinceStart, bool aHasRead) noexcept
{
  if (aHasRead) {
    return kNormalTimeout;
  }
  const auto half = std::chrono::duration_cast<milliseconds>(aSinceStart / 2);
  return std::clamp(half, kInitialTimeout, kMaxTimeout);
}

milliseconds
WatchWait(milliseconds aHistory) noexcept
{
  return aHistory == milliseconds{ 0 }
           ? kMaxWatchWait
           : std::min(kMaxWatchWait, aHistory / kWatchesPerHistory);
}

} // namespace currantshed::store
