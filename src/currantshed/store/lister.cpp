#include "currantshed/store/lister.hpp"

#include <algorithm>

namespace currantshed::store {

namespace {

/// The jitter is the interval divided by this, in either direction.
constexpr int kJitterDivisor = 5;

} // namespace

lister::lister(lister_settings aSettings, clock::time_point aNow)
  : mSettings(aSettings)
  , mBackoff(aSettings.afterFailure)
  , mStartAt(aNow)
  , mStartedAt(aNow)
{
}

bool
lister::Tick(clock::time_point aNow)
{
  if (!mStartAt || aNow < *mStartAt) {
    return false;
  }
  mStartAt.reset();
  mStartedAt = aNow;
  return true;
}

void
lister::Ended(std::error_code aError, clock::time_point aNow, double aRandom)
{
  if (aError) {
    mStartAt = aNow + mBackoff.Next(aRandom);
    return;
  }
  mBackoff.Reset();
  mLastAnswer = aNow;
  const auto jitter = mSettings.interval / kJitterDivisor;
  const auto interval =
    Between(mSettings.interval - jitter, mSettings.interval + jitter, aRandom);
  mStartAt = std::max(aNow, mStartedAt + interval);
}

std::optional<clock::time_point>
lister::NextTick() const noexcept
{
  return mStartAt;
}

std::optional<clock::time_point>
lister::LastAnswer() const noexcept
{
  return mLastAnswer;
}

} // namespace currantshed::store
