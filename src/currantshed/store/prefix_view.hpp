#ifndef CURRANTSHED_STORE_PREFIX_VIEW_HPP
#define CURRANTSHED_STORE_PREFIX_VIEW_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/backoff.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::store {

struct prefix_view_settings
{
  /// How long one watch waits. Long, since each call has its price; a dead
  /// connection is noticed by the transport.
  std::chrono::milliseconds wait{ 25000 };
  /// Pause after a change, and more of it for each key that is followed, so
  /// that many changes in a row cost few calls: keys of VMs change together
  /// when a fleet starts.
  std::chrono::milliseconds pauseAfterChange{ 100 };
  std::chrono::milliseconds pausePerKey{ 15 };
  /// The longest that this gets, however many keys there are.
  std::chrono::milliseconds maxPauseByKeys{ std::chrono::milliseconds::max() };
  /// How long one byte of the keys takes on the VM's link. After a change the
  /// pause is so many times the way of all keys, up to the longest: changes in
  /// quick succession of what is large must leave the link to the callers.
  std::chrono::nanoseconds timePerByte{ 0 };
  std::chrono::milliseconds maxPause{ 1500 };
  /// How long another VM's word that there is more may precede the own watch.
  std::chrono::milliseconds maxWatchLag{ 400 };
  /// Waits after failures, each of which has its price as well; short enough
  /// that a configuration made during an outage is in force in time after it.
  backoff_settings afterFailure{ std::chrono::milliseconds{ 100 },
                                 std::chrono::milliseconds{ 1500 } };
};

/// What one VM passes on to another of the keys below a prefix.
struct key_update
{
  /// Whether these are all keys, not changes alone.
  bool isSnapshot = false;
  /// The changes are those after this revision, up to the other.
  revision after;
  revision upTo;
  /// Whether the changes may have been made long before the sender saw them.
  bool mayBeStale = false;
  std::vector<key_change> changes;
  /// The changes are more than may be told at once, and left out.
  bool isTooLarge = false;
};

/// Which keys are others than when this was last asked.
struct changed_keys
{
  /// All of them may be: they were read as a whole.
  bool isAll = false;
  /// Each once, by name, where not all are.
  std::vector<std::string> keys;
};

/// The keys below one prefix as the store had them last: read once, then
/// followed by watches, and read again when the store has dropped the changes
/// in between or has come back from an older copy. Other VMs may pass the
/// changes on instead; while they do, the store is not called. Belongs to one
/// thread.
class prefix_view
{
public:
  using items = absl::btree_map<std::string, item>;

  struct listener
  {
    /// The keys are others now.
    std::function<void(clock::time_point)> changed;
    /// The store answers again, or no longer does.
    std::function<void(bool, std::error_code)> reachabilityChanged;
    /// A reading was left out, since its revision, the first one, is below the
    /// other, which was seen before.
    std::function<void(revision, revision)> staleReadIgnored = {};
  };

  prefix_view(key_value& aStore,
              std::string aPrefix,
              prefix_view_settings aSettings,
              listener aListener);
  ~prefix_view();
  prefix_view(const prefix_view&) = delete;
  prefix_view& operator=(const prefix_view&) = delete;

  void Tick(clock::time_point aNow, double aRandom);
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Another VM has seen a change of that revision. A watch may hang without
  /// any sign of it; then it is given up, and the keys are read again.
  void NotifyRevision(revision aChange, clock::time_point aNow);

  /// The store was away, and is back: a watch made meanwhile may never be
  /// answered, so the keys are read again, at once.
  void Refresh(clock::time_point aNow);

  /// The store has come back from an older copy. A view that is fed learns what
  /// stands there from those that feed it. Nothing is evidence until all has
  /// been written again.
  void OnEraChanged(clock::time_point aNow);

  /// Until then other VMs pass the changes on, so that no watch is begun.
  void ForwardedUntil(clock::time_point aUntil) noexcept
  {
    mForwardedUntil = aUntil;
  }
  [[nodiscard]] clock::time_point ForwardedUntil() const noexcept
  {
    return mForwardedUntil;
  }

  /// Not before then are the keys read for the first time: other VMs may hand
  /// all of them over.
  void DelayFirstReadUntil(clock::time_point aFrom) noexcept
  {
    mFirstReadNotBefore = aFrom;
  }

  /// Asks the store whether there is anything newer, whatever is under way.
  /// Calls back with whether it has answered.
  void Check(clock::time_point aNow,
             std::function<void(bool, clock::time_point)> aDone);

  /// Another VM has shown that nothing newer than these keys stood in the store
  /// at that time. A store that has just come back from an older copy shows
  /// nothing: it may have lost what was acknowledged and is yet to be written
  /// again.
  void MarkVerified(clock::time_point aAt) noexcept;

  /// The latest time at which nothing newer than these keys is known to have
  /// stood in the store.
  [[nodiscard]] clock::time_point VerifiedAt() const noexcept
  {
    return mProvedAt;
  }

  /// Another VM passes changes on. What does not follow on what is known here,
  /// or is no newer, is left out. Returns whether all up to its end is known
  /// here, so that these keys are as new as the other VM's.
  bool ApplyUpdate(const key_update& aUpdate, clock::time_point aNow);

  /// What another VM lacks that knows all up to that revision. Costs what is
  /// told for a VM that is a few changes behind; keys and values of more bytes
  /// than the longest are left out, and the update says so.
  [[nodiscard]] key_update UpdateSince(
    revision aKnown,
    std::size_t aLongest = std::numeric_limits<std::size_t>::max()) const;

  /// The keys that have changed since this was last called, so that whoever
  /// reads them need not read all anew.
  [[nodiscard]] changed_keys TakeChangedKeys();

  /// Keys that were looked at to tell other VMs what they lack; counts work.
  [[nodiscard]] std::uint64_t KeysExamined() const noexcept
  {
    return mLookedAt;
  }

  /// Whether nothing is asked of the store for now, since calls of this VM
  /// fail: one kind of call finds out when it answers again.
  void SetPaused(bool aIsHeld) noexcept { mIsHeld = aIsHeld; }

  /// When the keys were known to be as the store had them: a watch that waits
  /// tells nothing, so its time is that of the last answer to any call.
  [[nodiscard]] clock::time_point CurrentAt(
    clock::time_point aLastAnswer) const noexcept;

  /// The newest change seen.
  [[nodiscard]] revision Changed() const noexcept { return mChanged; }

  /// Whether the keys were read at least once.
  [[nodiscard]] bool IsKnown() const noexcept { return mIsKnown; }
  [[nodiscard]] bool IsReached() const noexcept { return mIsReached; }
  /// Whether the last changes may have been made long before they were seen:
  /// they came with a reading of all keys, or after a watch had failed.
  [[nodiscard]] bool MayBeStale() const noexcept { return mMayBeOld; }
  /// The revision up to which changes are known.
  [[nodiscard]] revision Seen() const noexcept { return mSeen; }
  [[nodiscard]] const items& Items() const noexcept { return mItems; }

private:
  void ReadAgain();
  void ReadAtOnce(clock::time_point aNow);
  void Read(clock::time_point aNow);
  [[nodiscard]] bool TakeAll(std::vector<item> aItems,
                             revision aRevision,
                             clock::time_point aNow);
  void NoteIgnored(revision aRead);
  [[nodiscard]] bool TakeOne(key_change aChange);
  void NoteChanged(const std::string& aKey, revision aAt);
  void AddRecent(key_update& aTo, std::size_t aLongest) const;
  void AddByLook(key_update& aTo, std::size_t aLongest) const;
  void AddRemovals(key_update& aTo) const;
  [[nodiscard]] bool TakeChanges(std::vector<key_change> aChanges,
                                 revision aUpTo);
  void Follow(clock::time_point aNow);
  void Failed(std::error_code aError, clock::time_point aNow);
  void Succeeded(bool aChanged, clock::time_point aNow);
  [[nodiscard]] std::chrono::milliseconds Pause() const;

  key_value& mStore;
  std::string mPrefix;
  prefix_view_settings mSettings;
  listener mListener;
  backoff mBackoff;
  items mItems;
  revision mSeen;
  revision mChanged;
  std::optional<clock::time_point> mBehindSince;
  bool mIsKnown = false;
  bool mMustRead = true;
  bool mIsReached = false;
  bool mMayBeOld = true;
  // A watch has failed since the last answer.
  bool mMissedSome = true;
  bool mIsCalling = false;
  bool mIsHeld = false;
  bool mIsChecking = false;
  // The last reading that was left out.
  revision mIgnored;
  clock::time_point mProvedAt{};
  // From when on the store of the present era counts as evidence.
  clock::time_point mProvesFrom{};
  clock::time_point mForwardedUntil{};
  clock::time_point mFirstReadNotBefore{};
  // When the last answer came of a call for these keys.
  clock::time_point mAnsweredAt{};
  // The removals after a revision, oldest first, for others that lack them.
  std::deque<key_change> mRemovals;
  revision mRemovalsAfter;
  // The last changes, oldest first, and the revision from which on they are
  // complete: what most others lack is among them.
  std::deque<std::pair<revision, std::string>> mRecent;
  revision mRecentAfter;
  // Length of all keys and values.
  std::size_t mBytes = 0;
  changed_keys mChangedKeys;
  mutable std::uint64_t mLookedAt = 0;
  clock::time_point mNotBefore{};
  double mRandom = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::store

#endif
