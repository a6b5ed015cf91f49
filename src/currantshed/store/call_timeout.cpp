#include "currantshed/store/call_timeout.hpp"

#include <algorithm>

namespace currantshed::store {

namespace {

using std::chrono::milliseconds;

// The store responds within milliseconds, or within 250 ms when it is slow.
constexpr milliseconds kUsual{ 1000 };
// 250 ms for a slow store, plus the transfer time of a large configuration.
constexpr milliseconds kAtFirst{ 400 };
constexpr milliseconds kLongest{ 4000 };

} // namespace

milliseconds
CallTimeout(clock::duration aSinceStart, bool aHasRead) noexcept
{
  if (aHasRead) {
    return kUsual;
  }
  const auto half = std::chrono::duration_cast<milliseconds>(aSinceStart / 2);
  return std::clamp(half, kAtFirst, kLongest);
}

} // namespace currantshed::store
