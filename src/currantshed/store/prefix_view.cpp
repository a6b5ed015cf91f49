#include "currantshed/store/prefix_view.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "currantshed/store/errors.hpp"

namespace currantshed::store {

namespace {

// Pause for each unit of time that a change keeps the link busy, so that
// changes which never stop take at most a seventh of it.
constexpr int kPauseByWay = 6;

} // namespace

prefix_view::prefix_view(key_value& aStore,
                         std::string aPrefix,
                         prefix_view_settings aSettings,
                         listener aListener)
  : mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mSettings(aSettings)
  , mListener(std::move(aListener))
  , mBackoff(aSettings.afterFailure)
{
}

prefix_view::~prefix_view()
{
  *mAlive = false;
}

void
prefix_view::Tick(clock::time_point aNow, double aRandom)
{
  mRandom = aRandom;
  if (mIsCalling || aNow < mNotBefore) {
    return;
  }
  mIsCalling = true;
  if (mMustRead) {
    Read();
  } else {
    Follow();
  }
}

clock::time_point
prefix_view::NextTick() const noexcept
{
  return mIsCalling ? clock::time_point::max() : mNotBefore;
}

void
prefix_view::HeardOf(revision aChange, clock::time_point aNow)
{
  // One that is behind itself proves nothing.
  if (aChange <= mSeen || !mIsKnown) {
    return;
  }
  if (!mBehindSince) {
    mBehindSince = aNow;
  }
  if (aNow - *mBehindSince > mSettings.patience) {
    ReadAgain();
  }
}

void
prefix_view::Renew(clock::time_point aNow)
{
  ReadAgain();
  if (!mIsCalling) {
    mNotBefore = std::min(mNotBefore, aNow);
  }
}

void
prefix_view::ReadAgain()
{
  if (mIsCalling && !mMustRead) {
    mMustRead = true;
    mStore.CancelWatch(mPrefix);
  }
}

void
prefix_view::Read()
{
  mStore.Range(mPrefix,
               [this, alive = mAlive](std::error_code aError,
                                      std::vector<item> aItems,
                                      revision aRevision,
                                      clock::time_point aNow) {
                 if (!*alive) {
                   return;
                 }
                 mIsCalling = false;
                 if (aError) {
                   Failed(aError, aNow);
                   return;
                 }
                 mItems.clear();
                 for (auto& one : aItems) {
                   auto key = one.key;
                   mChanged = std::max(mChanged, one.changed);
                   mItems.emplace(std::move(key), std::move(one));
                 }
                 mSeen = aRevision;
                 mMustRead = false;
                 mIsKnown = true;
                 mMayBeOld = true;
                 mMissedSome = false;
                 Succeeded(false, aNow);
                 mListener.changed(aNow);
               });
}

// What another VM has seen before is on its way now: only a watch that says
// nothing for as long as it may counts as hung.
void
prefix_view::Follow()
{
  mBehindSince.reset();
  mStore.Watch(mPrefix,
               mSeen,
               mSettings.wait,
               [this, alive = mAlive](std::error_code aError,
                                      std::vector<key_change> aChanges,
                                      revision aRevision,
                                      clock::time_point aNow) {
                 if (!*alive) {
                   return;
                 }
                 mIsCalling = false;
                 if (aError) {
                   // What was missed while there was no watch may be gone.
                   mMustRead = mMustRead || aError == errc::kHistoryGone;
                   Failed(aError, aNow);
                   return;
                 }
                 for (auto& one : aChanges) {
                   auto key = one.now.key;
                   mChanged = std::max(mChanged, one.now.changed);
                   if (one.removed) {
                     mItems.erase(key);
                   } else {
                     mItems[std::move(key)] = std::move(one.now);
                   }
                 }
                 mSeen = aRevision;
                 mMayBeOld = mMissedSome;
                 mMissedSome = false;
                 Succeeded(!aChanges.empty(), aNow);
                 if (!aChanges.empty()) {
                   mListener.changed(aNow);
                 }
               });
}

void
prefix_view::Failed(std::error_code aError, clock::time_point aNow)
{
  mMissedSome = true;
  if (aError == errc::kHistoryGone) {
    mNotBefore = aNow;
    return;
  }
  mNotBefore = aNow + mBackoff.Next(mRandom);
  if (mIsReached) {
    mIsReached = false;
    mListener.reached(false, aError);
  }
}

std::chrono::milliseconds
prefix_view::Pause() const
{
  std::size_t bytes = 0;
  for (const auto& [key, one] : mItems) {
    bytes += key.size() + one.value.size();
  }
  const auto way = std::chrono::duration_cast<std::chrono::milliseconds>(
    mSettings.byteTime * static_cast<std::int64_t>(bytes));
  const auto keys = static_cast<int>(mItems.size());
  const auto usual =
    std::min(mSettings.afterChange + mSettings.afterChangeByKey * keys,
             mSettings.longestByKeys);
  return std::max(usual, std::min(way * kPauseByWay, mSettings.longestPause));
}

void
prefix_view::Succeeded(bool aChanged, clock::time_point aNow)
{
  mBackoff.Reset();
  mBehindSince.reset();
  mNotBefore = aChanged ? aNow + Pause() : clock::time_point{};
  if (!mIsReached) {
    mIsReached = true;
    mListener.reached(true, {});
  }
}

} // namespace currantshed::store
