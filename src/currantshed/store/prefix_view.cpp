#include "currantshed/store/prefix_view.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "currantshed/store/errors.hpp"

namespace currantshed::store {

namespace {

// Length of the pause in multiples of the transfer time of all keys. Continuous
// changes then use at most a seventh of the link.
constexpr int kPausePerTransferTime = 6;
// Number of removals kept for updates. A VM that lacks more is sent all keys.
constexpr std::size_t kMaxRemovals = 1024;
// Number of changes of any kind kept for updates. For a VM that lacks more, the
// update is computed by scanning all keys.
constexpr std::size_t kMaxRecentChanges = 1024;
// How long a restored store may lack acknowledged changes: their writers write
// them again within 2 s.
constexpr std::chrono::milliseconds kRewriteTime{ 3000 };
// Pause after a read that was discarded: a watch from the known revision is
// rejected immediately, and the next read is likely to be discarded too.
constexpr std::chrono::milliseconds kDiscardedReadPause{ 500 };
// Allowance for the transfer of a change, in multiples of the time that it
// takes if nothing else uses the link.
constexpr int kTransfersPerLag = 2;
// A change waits for at most this many transfers, the one under way and its
// own, beside the pause between them.
constexpr int kTransfersPerChange = 2;
// Left of the bound for the calls themselves and for other traffic on the link.
constexpr std::chrono::milliseconds kBoundMargin{ 500 };
// How long a watch is kept after a forwarder has taken over. A forwarder that
// fails again in that time costs no new watch.
constexpr std::chrono::milliseconds kRedundantWatchLife{ 2000 };

std::size_t
SizeOf(const item& aItem)
{
  return aItem.key.size() + aItem.value.size();
}

// Sorts the changes by revision: an update lists keys by name, with removals
// last.
std::vector<const key_change*>
SortedByRevision(const std::vector<key_change>& aChanges)
{
  std::vector<const key_change*> ordered;
  ordered.reserve(aChanges.size());
  for (const auto& one : aChanges) {
    ordered.push_back(&one);
  }
  std::stable_sort(
    ordered.begin(), ordered.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->now.changed < aRight->now.changed;
    });
  return ordered;
}

// Size limit of the changes that a watch returns, if only the newest version
// matters: one version of all keys, which may have grown by a quarter, or this
// many bytes if that is more.
constexpr std::size_t kMinWatchBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kMaxGrowth = 4;
// A check shares its connection with the renewal of leases, which its answer
// must not delay longer than this.
constexpr std::chrono::milliseconds kMaxCheckTransfer{ 200 };

// Whether the store cannot return the changes after the known revision.
bool
IsHistoryLost(std::error_code aError)
{
  return aError == errc::kHistoryCompacted || aError == errc::kStaleEra;
}

// Whether asking for the same changes again would fail for the same reason. A
// read of the keys is then the only call that can succeed.
bool
IsUnrepeatable(std::error_code aError)
{
  return IsHistoryLost(aError) || aError == errc::kTooLarge ||
         aError == errc::kIncomplete || aError == errc::kMalformed ||
         aError == errc::kRejected;
}

} // namespace

std::string_view
NameOf(change_source aSource) noexcept
{
  switch (aSource) {
    case change_source::kNone:
      break;
    case change_source::kRead:
      return "read";
    case change_source::kWatch:
      return "watch";
    case change_source::kCheck:
      return "check";
    case change_source::kOtherVm:
      return "other_vm";
  }
  return "none";
}

std::string_view
NameOf(call_reason aReason) noexcept
{
  switch (aReason) {
    case call_reason::kFirstRead:
      return "first_read";
    case call_reason::kContinued:
      return "continued";
    case call_reason::kForwardingEnded:
      return "forwarding_ended";
    case call_reason::kLagging:
      return "lagging";
    case call_reason::kChangesUnavailable:
      return "changes_unavailable";
  }
  return "unknown";
}

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
  const bool isForwarded =
    mIsKnown && !mIsForwarderLate && aNow < mForwardedUntil;
  const bool isWaiting = !mIsKnown && aNow < mFirstReadNotBefore;
  CancelRedundantWatch(isForwarded, aNow);
  if (mIsCalling || mIsPaused || isForwarded || isWaiting ||
      aNow < mNotBefore) {
    return;
  }
  mIsCalling = true;
  ReportCall();
  if (mMustRead) {
    Read(aNow);
  } else {
    StartWatch(aNow);
  }
}

void
prefix_view::CancelRedundantWatch(bool aIsForwarded, clock::time_point aNow)
{
  if (!aIsForwarded) {
    mForwardedSince.reset();
    return;
  }
  mForwardedSince = mForwardedSince.value_or(aNow);
  if (mIsCalling && !mMustRead && !mIsWatchCancelled &&
      aNow - *mForwardedSince >= kRedundantWatchLife) {
    mIsWatchCancelled = true;
    mStore.CancelWatch(mPrefix);
  }
}

void
prefix_view::ReportCall()
{
  const auto reason = std::exchange(mNextCall, call_reason::kContinued);
  if (mListener.callBegun) {
    mListener.callBegun(reason);
  }
}

clock::time_point
prefix_view::NextTick() const noexcept
{
  if (mIsCalling || mIsPaused) {
    return clock::time_point::max();
  }
  if (!mIsKnown) {
    return std::max(mNotBefore, mFirstReadNotBefore);
  }
  return mIsForwarderLate ? mNotBefore : std::max(mNotBefore, mForwardedUntil);
}

void
prefix_view::NotifyRevision(revision aChange, clock::time_point aNow)
{
  // Ignores announcements by VMs that lag behind this one.
  if (aChange <= mSeen || !mIsKnown) {
    return;
  }
  if (!mLaggingSince) {
    mLaggingSince = aNow;
  }
  if (aNow - *mLaggingSince > MaxLag(aNow)) {
    ReadAgain();
    mMustRead = mMustRead || mSettings.skipsVersions;
    mForwardedUntil = {};
    mIsForwarderLate = true;
    mNextCall = call_reason::kLagging;
  }
}

std::chrono::milliseconds
prefix_view::MaxLag(clock::time_point aNow) const
{
  // The forwarder pauses after each change as well.
  const auto lag = mSettings.maxWatchLag +
                   (mIsCalling ? kTransfersPerLag * TransferTime() : Pause());
  return aNow < mForwardedUntil ? std::max(lag, mSettings.maxForwardingLag)
                                : lag;
}

void
prefix_view::Refresh(clock::time_point aNow)
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
prefix_view::Read(clock::time_point aNow)
{
  mStore.Range(mPrefix,
               [this, alive = mAlive, sentAt = aNow](std::error_code aError,
                                                     std::vector<item> aItems,
                                                     revision aRevision,
                                                     response_info aInfo) {
                 if (!*alive) {
                   return;
                 }
                 mIsCalling = false;
                 if (aError) {
                   OnFailure(aError, aInfo.at);
                   return;
                 }
                 mAnsweredAt = aInfo.at;
                 const bool isApplied =
                   ReplaceAll(std::move(aItems), aRevision, aInfo.at);
                 if (!isApplied) {
                   ReportDiscardedRead(aRevision);
                 }
                 MarkVerified(sentAt);
                 mMustRead = false;
                 mIsKnown = true;
                 mMayBeStale = true;
                 mMayHaveMissedChanges = false;
                 mSource = change_source::kRead;
                 OnSuccess(std::exchange(mReadsChanges, false), aInfo.at);
                 if (isApplied) {
                   mListener.changed(aInfo.at);
                 } else {
                   mNotBefore = aInfo.at + kDiscardedReadPause;
                 }
               });
}

void
prefix_view::Check(clock::time_point aNow,
                   std::function<void(bool, clock::time_point)> aDone)
{
  if (mIsChecking || !mIsKnown) {
    return;
  }
  mIsChecking = true;
  mStore.ChangesSince(
    { mPrefix, mSeen, MaxCheckBytes() },
    [this, alive = mAlive, sentAt = aNow, done = std::move(aDone)](
      std::error_code aError,
      std::vector<key_change> aChanges,
      revision aRevision,
      response_info aInfo) {
      if (!*alive) {
        return;
      }
      mIsChecking = false;
      const bool isOtherEra = !aError && aRevision.era != mSeen.era;
      // A forwarder sends the changes that a check could not have. The store
      // cannot send all keys to every VM that asks.
      const bool mustRead = IsUnrepeatable(aError) && !IsHistoryLost(aError) &&
                            aInfo.at >= mForwardedUntil;
      if (isOtherEra || mustRead) {
        mNextCall = call_reason::kChangesUnavailable;
        ReadImmediately(aInfo.at);
        done(false, aInfo.at);
        return;
      }
      if (!aError) {
        const bool isChanged = ApplyChanges(std::move(aChanges), aRevision);
        MarkVerified(sentAt);
        if (isChanged) {
          mSource = change_source::kCheck;
          mListener.changed(aInfo.at);
        }
      }
      done(!aError, aInfo.at);
    });
}

void
prefix_view::MarkVerified(clock::time_point aAt) noexcept
{
  if (aAt >= mVerifiableFrom) {
    mVerifiedAt = std::max(mVerifiedAt, aAt);
  }
}

// Returns whether any change was new.
bool
prefix_view::ApplyChanges(std::vector<key_change> aChanges, revision aUpTo)
{
  bool isChanged = false;
  for (auto& one : aChanges) {
    isChanged = ApplyChange(std::move(one)) || isChanged;
  }
  mSeen = std::max(mSeen, aUpTo);
  return isChanged;
}

// The new watch will deliver the revisions that other VMs have announced, so
// the lag is reset: only a watch that stays silent for maxWatchLag counts as
// hung.
void
prefix_view::StartWatch(clock::time_point aNow)
{
  mLaggingSince.reset();
  mStore.Watch(
    { mPrefix, mSeen, MaxWatchBytes() },
    mSettings.wait,
    [this, alive = mAlive, sentAt = aNow](std::error_code aError,
                                          std::vector<key_change> aChanges,
                                          revision aRevision,
                                          response_info aInfo) {
      if (!*alive) {
        return;
      }
      mIsCalling = false;
      const bool wasCancelled = std::exchange(mIsWatchCancelled, false);
      if (aError && wasCancelled && !mMustRead) {
        return;
      }
      if (aError) {
        OnWatchFailure(aError, aInfo.at);
        return;
      }
      if (aRevision.era != mSeen.era) {
        // The changes between the known revision and the start of the watch are
        // unknown.
        mReadsChanges = mSettings.skipsVersions && !aChanges.empty();
        ReadImmediately(aInfo.at);
        return;
      }
      mAnsweredAt = aInfo.at;
      const bool hasChanges = !aChanges.empty();
      const bool isChanged = ApplyChanges(std::move(aChanges), aRevision);
      MarkVerified(sentAt);
      mMayBeStale = mMayHaveMissedChanges;
      mMayHaveMissedChanges = false;
      OnSuccess(hasChanges, aInfo.at);
      if (isChanged) {
        mSource = change_source::kWatch;
        mListener.changed(aInfo.at);
      }
    });
}

// Whether all that differs from the known keys has changed after them. If not,
// other VMs cannot be sent the difference alone.
bool
prefix_view::CanMerge(const std::vector<item>& aItems) const
{
  return std::all_of(aItems.begin(), aItems.end(), [this](const auto& aItem) {
    const auto found = mItems.find(aItem.key);
    return aItem.changed > mSeen ||
           (found != mItems.end() && found->second.changed == aItem.changed);
  });
}

// Applies all keys as of a later revision as changes, so that VMs which follow
// this one are not sent all keys again.
void
prefix_view::Merge(std::vector<item> aItems, revision aRevision)
{
  absl::flat_hash_set<std::string> present;
  for (const auto& one : aItems) {
    present.insert(one.key);
  }
  std::vector<key_change> removals;
  for (const auto& [key, one] : mItems) {
    if (!present.contains(key)) {
      removals.push_back({ { key, {}, aRevision, {} }, true });
    }
  }
  for (auto& one : aItems) {
    (void)ApplyChange({ std::move(one), false });
  }
  for (auto& one : removals) {
    (void)ApplyChange(std::move(one));
  }
  mSeen = aRevision;
}

// Replaces all keys by those of a read or of another VM. Returns false if they
// are older than the known ones.
bool
prefix_view::ReplaceAll(std::vector<item> aItems,
                        revision aRevision,
                        clock::time_point aNow)
{
  // Another VM has sent a newer state while the read was in progress.
  if (mIsKnown && aRevision < mSeen) {
    return false;
  }
  if (mIsKnown && aRevision.era == mSeen.era && CanMerge(aItems)) {
    Merge(std::move(aItems), aRevision);
    return true;
  }
  if (mIsKnown && aRevision.era != mSeen.era) {
    mVerifiableFrom = aNow + kRewriteTime;
  }
  mItems.clear();
  mBytes = 0;
  for (auto& one : aItems) {
    auto key = one.key;
    mChanged = std::max(mChanged, one.changed);
    mBytes += SizeOf(one);
    mItems.emplace(std::move(key), std::move(one));
  }
  mSeen = aRevision;
  mRemovals.clear();
  mRemovalsAfter = aRevision;
  mRecentChanges.clear();
  mRecentChangesAfter = aRevision;
  mChangedKeys = { true, {} };
  return true;
}

void
prefix_view::OnEraChanged(clock::time_point aNow)
{
  // A read in progress, perhaps the first one, may also reflect a store that
  // lacks changes which are yet to be written again.
  mVerifiableFrom = std::max(mVerifiableFrom, aNow + kRewriteTime);
  if (mIsKnown && aNow >= mForwardedUntil) {
    ReadImmediately(aNow);
  }
}

// Called when the keys belong to another era than the store.
void
prefix_view::ReadImmediately(clock::time_point aNow)
{
  mMayHaveMissedChanges = true;
  mForwardedUntil = {};
  ReadAgain();
  mMustRead = true;
  CallImmediately(aNow);
}

void
prefix_view::CallImmediately(clock::time_point aNow)
{
  mNotBefore = aNow;
  if (mListener.callDue) {
    mListener.callDue();
  }
}

// Discarding the same revision repeatedly is reported only once.
void
prefix_view::ReportDiscardedRead(revision aRead)
{
  if (std::exchange(mDiscardedRead, aRead) != aRead &&
      mListener.staleReadIgnored) {
    mListener.staleReadIgnored(aRead, mSeen);
  }
}

// Returns whether the change was new.
bool
prefix_view::ApplyChange(key_change aChange)
{
  const auto found = mItems.find(aChange.now.key);
  const bool isKnown =
    found != mItems.end() && found->second.changed >= aChange.now.changed;
  if (isKnown || (aChange.now.changed <= mSeen && found == mItems.end())) {
    return false;
  }
  mChanged = std::max(mChanged, aChange.now.changed);
  RecordChange(aChange.now.key, aChange.now.changed);
  if (found != mItems.end()) {
    mBytes -= SizeOf(found->second);
  }
  if (!aChange.removed) {
    mBytes += SizeOf(aChange.now);
    mItems[aChange.now.key] = std::move(aChange.now);
    return true;
  }
  if (found != mItems.end()) {
    mItems.erase(found);
  }
  mRemovals.push_back(std::move(aChange));
  if (mRemovals.size() > kMaxRemovals) {
    mRemovalsAfter = mRemovals.front().now.changed;
    mRemovals.pop_front();
  }
  return true;
}

bool
prefix_view::ApplyUpdate(const key_update& aUpdate, clock::time_point aNow)
{
  // Revisions count the changes of the whole store, so another VM's keys may be
  // current although its last call is older than this VM's. Keys of an earlier
  // era are not.
  if (mIsKnown && aUpdate.upTo < mSeen) {
    return aUpdate.upTo.era == mSeen.era;
  }
  if (!aUpdate.isSnapshot && (!mIsKnown || aUpdate.after > mSeen)) {
    return false;
  }
  const bool wasKnown = mIsKnown;
  const bool isProgress = !mIsKnown || aUpdate.upTo > mSeen;
  bool isChanged = false;
  if (aUpdate.isSnapshot && (!mIsKnown || aUpdate.upTo > mSeen)) {
    std::vector<item> items;
    for (const auto& one : aUpdate.changes) {
      items.push_back(one.now);
    }
    isChanged = ReplaceAll(std::move(items), aUpdate.upTo, aNow);
  } else if (!aUpdate.isSnapshot) {
    for (const auto* one : SortedByRevision(aUpdate.changes)) {
      isChanged = ApplyChange(*one) || isChanged;
    }
  }
  mIsKnown = true;
  mMustRead = mMustRead && mIsCalling;
  mSeen = std::max(mSeen, aUpdate.upTo);
  mMayBeStale = !wasKnown || aUpdate.isSnapshot || aUpdate.mayBeStale ||
                mMayHaveMissedChanges || aNow >= mForwardedUntil;
  mMayHaveMissedChanges = false;
  if (isProgress) {
    mLaggingSince.reset();
    mIsForwarderLate = false;
  }
  if (!mIsForwarderLate) {
    mNextCall = call_reason::kForwardingEnded;
  }
  if (isChanged) {
    mSource = change_source::kOtherVm;
    mListener.changed(aNow);
  }
  return true;
}

void
prefix_view::RecordChange(const std::string& aKey, revision aAt)
{
  const auto later =
    std::find_if(mRecentChanges.rbegin(),
                 mRecentChanges.rend(),
                 [aAt](const auto& aOne) { return aOne.first <= aAt; });
  mRecentChanges.emplace(later.base(), aAt, aKey);
  if (mRecentChanges.size() > kMaxRecentChanges) {
    mRecentChangesAfter =
      std::max(mRecentChangesAfter, mRecentChanges.front().first);
    mRecentChanges.pop_front();
  }
  if (mChangedKeys.isAll) {
    return;
  }
  mChangedKeys.keys.push_back(aKey);
  // Bounds the list if TakeChangedKeys is never called.
  if (mChangedKeys.keys.size() > mItems.size() + kMaxRecentChanges) {
    mChangedKeys = { true, {} };
  }
}

changed_keys
prefix_view::TakeChangedKeys()
{
  auto taken = std::exchange(mChangedKeys, {});
  std::sort(taken.keys.begin(), taken.keys.end());
  const auto end = std::unique(taken.keys.begin(), taken.keys.end());
  taken.keys.erase(end, taken.keys.end());
  return taken;
}

key_update
prefix_view::UpdateSince(revision aKnown, std::size_t aMaxBytes) const
{
  key_update update;
  update.isSnapshot = aKnown < mRemovalsAfter;
  update.after = update.isSnapshot ? revision{} : aKnown;
  update.upTo = mSeen;
  update.mayBeStale = mMayBeStale;
  const bool isRecent = !update.isSnapshot && aKnown >= mRecentChangesAfter;
  if (update.isSnapshot && mBytes > aMaxBytes) {
    update.isTooLarge = true;
  } else if (isRecent) {
    AddRecentChanges(update, aMaxBytes);
  } else {
    AddByScan(update, aMaxBytes);
  }
  return update;
}

// Adds the recently changed keys, each once, from the newest back to the known
// revision.
void
prefix_view::AddRecentChanges(key_update& aTo, std::size_t aMaxBytes) const
{
  absl::flat_hash_set<std::string_view> added;
  std::size_t bytes = 0;
  for (auto one = mRecentChanges.rbegin(); one != mRecentChanges.rend();
       ++one) {
    if (one->first <= aTo.after) {
      break;
    }
    ++mKeysExamined;
    if (!added.insert(one->second).second) {
      continue;
    }
    const auto found = mItems.find(one->second);
    if (found == mItems.end()) {
      continue;
    }
    bytes += SizeOf(found->second);
    if (bytes > aMaxBytes) {
      aTo.isTooLarge = true;
      aTo.changes.clear();
      return;
    }
    aTo.changes.push_back({ found->second, false });
  }
  AddRemovals(aTo);
}

void
prefix_view::AddByScan(key_update& aTo, std::size_t aMaxBytes) const
{
  std::size_t bytes = 0;
  mKeysExamined += mItems.size();
  for (const auto& [key, one] : mItems) {
    if (one.changed <= aTo.after) {
      continue;
    }
    bytes += SizeOf(one);
    if (bytes > aMaxBytes) {
      aTo.isTooLarge = true;
      aTo.changes.clear();
      return;
    }
    aTo.changes.push_back({ one, false });
  }
  AddRemovals(aTo);
}

// Adds the removals, after all other changes: a key that was removed and
// written again is among the keys with its later change.
void
prefix_view::AddRemovals(key_update& aTo) const
{
  if (aTo.isSnapshot) {
    return;
  }
  std::copy_if(
    mRemovals.begin(),
    mRemovals.end(),
    std::back_inserter(aTo.changes),
    [&aTo](const auto& aOne) { return aOne.now.changed > aTo.after; });
}

clock::time_point
prefix_view::CurrentAt(clock::time_point aLastAnswer) const noexcept
{
  const bool isWaiting = mIsCalling && !mMustRead && mIsReachable;
  return isWaiting ? std::max(mAnsweredAt, aLastAnswer) : mAnsweredAt;
}

// Changes that the store cannot return, or not in an answer that arrives, are
// not asked for again: the keys are read.
void
prefix_view::OnWatchFailure(std::error_code aError, clock::time_point aNow)
{
  if (!IsUnrepeatable(aError)) {
    OnFailure(aError, aNow);
    return;
  }
  mMustRead = true;
  mNextCall = call_reason::kChangesUnavailable;
  mReadsChanges = mSettings.skipsVersions || !IsHistoryLost(aError);
  if (aError == errc::kTooLarge) {
    // The store has answered; only the answer is of no use.
    mMayHaveMissedChanges = true;
    CallImmediately(aNow);
    return;
  }
  OnFailure(aError, aNow);
}

void
prefix_view::OnFailure(std::error_code aError, clock::time_point aNow)
{
  mMayHaveMissedChanges = true;
  if (IsHistoryLost(aError)) {
    CallImmediately(aNow);
    return;
  }
  mNotBefore = aNow + mBackoff.Next(mRandom);
  if (mIsReachable) {
    mIsReachable = false;
    mListener.reachabilityChanged(false, aError);
  }
}

std::chrono::milliseconds
prefix_view::TransferTime() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    mSettings.timePerByte * static_cast<std::int64_t>(mBytes));
}

std::chrono::milliseconds
prefix_view::TransferPause() const
{
  const auto usual =
    std::min(TransferTime() * kPausePerTransferTime, mSettings.maxPause);
  if (mSettings.changeBound <= std::chrono::milliseconds::zero()) {
    return usual;
  }
  const auto left =
    mSettings.changeBound - kTransfersPerChange * TransferTime() - kBoundMargin;
  return std::clamp(left, std::chrono::milliseconds::zero(), usual);
}

std::size_t
prefix_view::MaxWatchBytes() const
{
  return mSettings.skipsVersions
           ? std::max(kMinWatchBytes, mBytes + mBytes / kMaxGrowth)
           : std::numeric_limits<std::size_t>::max();
}

std::size_t
prefix_view::MaxCheckBytes() const
{
  if (mSettings.timePerByte <= std::chrono::nanoseconds::zero()) {
    return MaxWatchBytes();
  }
  const auto most = static_cast<std::size_t>(
    std::chrono::nanoseconds(kMaxCheckTransfer) / mSettings.timePerByte);
  return std::min(MaxWatchBytes(), most);
}

std::chrono::milliseconds
prefix_view::Pause() const
{
  const auto keys = static_cast<int>(mItems.size());
  const auto pauseByKeys =
    std::min(mSettings.pauseAfterChange + mSettings.pausePerKey * keys,
             mSettings.maxPauseByKeys);
  return std::max(pauseByKeys, TransferPause());
}

void
prefix_view::OnSuccess(bool aChanged, clock::time_point aNow)
{
  mBackoff.Reset();
  mLaggingSince.reset();
  mIsForwarderLate = false;
  mNotBefore = aChanged ? aNow + Pause() : clock::time_point{};
  if (!mIsReachable) {
    mIsReachable = true;
    mListener.reachabilityChanged(true, {});
  }
}

} // namespace currantshed::store
