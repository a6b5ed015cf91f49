#include "currantshed/store/watcher.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::store {

namespace {

/// The pause is random between watcher_settings::pause and this multiple of it.
constexpr int kMaxPauseFactor = 2;

} // namespace

watcher::watcher(watcher_settings aSettings, clock::time_point aNow)
  : mSettings(aSettings)
  , mBackoff(aSettings.afterFailure)
{
  Start(aNow);
}

void
watcher::Ended(std::error_code aError,
               const entry& aEntry,
               clock::time_point aNow,
               double aRandom)
{
  if (aError) {
    mStartAt = aNow + mBackoff.Next(aRandom);
    return;
  }
  mBackoff.Reset();
  mLastAnswer = aNow;
  mLastVersion = aEntry.version;
  if (Deliver(aEntry)) {
    Start(aNow);
    return;
  }
  const auto pause =
    Between(mSettings.pause, kMaxPauseFactor * mSettings.pause, aRandom);
  mStartAt = std::max(aNow, mStartedAt + pause);
  Tick(aNow);
}

void
watcher::Tick(clock::time_point aNow)
{
  if (mStartAt && aNow >= *mStartAt) {
    Start(aNow);
  }
}

std::optional<clock::time_point>
watcher::NextTick() const noexcept
{
  return mStartAt;
}

std::vector<watcher_action>
watcher::TakeActions()
{
  return std::exchange(mActions, {});
}

std::optional<clock::time_point>
watcher::LastAnswer() const noexcept
{
  return mLastAnswer;
}

void
watcher::Start(clock::time_point aNow)
{
  mStartAt.reset();
  mStartedAt = aNow;
  mActions.emplace_back(start_watch{ mLastVersion, mSettings.wait });
}

bool
watcher::Deliver(const entry& aEntry)
{
  if (mDelivered && aEntry.version <= *mDelivered) {
    return false;
  }
  mDelivered = aEntry.version;
  mActions.emplace_back(deliver_entry{ aEntry });
  return true;
}

} // namespace currantshed::store
