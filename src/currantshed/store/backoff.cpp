#include "currantshed/store/backoff.hpp"

#include <algorithm>

namespace currantshed::store {

namespace {

/// The first delay is random too: a restart of the platform disconnects all of
/// its callers at the same moment.
std::chrono::milliseconds
InitialBound(const backoff_settings& aSettings)
{
  return std::min(aSettings.minDelay * 2, aSettings.maxDelay);
}

} // namespace

backoff::backoff(backoff_settings aSettings)
  : mSettings(aSettings)
  , mBound(InitialBound(aSettings))
{
}

clock::duration
backoff::Next(double aRandom)
{
  const auto wait = Between(mSettings.minDelay, mBound, aRandom);
  mBound = std::min(mBound * 2, mSettings.maxDelay);
  return wait;
}

void
backoff::Reset() noexcept
{
  mBound = InitialBound(mSettings);
}

clock::duration
Between(clock::duration aLow, clock::duration aHigh, double aRandom)
{
  const auto span = static_cast<double>((aHigh - aLow).count());
  const auto offset = static_cast<clock::duration::rep>(span * aRandom);
  return aLow + clock::duration(offset);
}

} // namespace currantshed::store
