#include "currantshed/store/call_timeout.hpp"

#include <algorithm>

namespace currantshed::store {

namespace {

using std::chrono::milliseconds;

// The store answers within milliseconds, or within a quarter of a second when
// it is slow.
constexpr milliseconds kUsual{ 1000 };
// A quarter of a second, and the way of a large configuration.
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
