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
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/backoff.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::store {

struct prefix_view_settings
{
  /// How long one watch waits for changes. Long, since every call has a cost;
  /// the transport detects dead connections.
  std::chrono::milliseconds wait{ 25000 };
  /// Pause between a change and the next watch, plus a part for each key in the
  /// view, so that a burst of changes takes few calls: the keys of VMs change
  /// together when a fleet starts.
  std::chrono::milliseconds pauseAfterChange{ 100 };
  std::chrono::milliseconds pausePerKey{ 15 };
  /// Upper bound of the pause computed from the number of keys.
  std::chrono::milliseconds maxPauseByKeys{ std::chrono::milliseconds::max() };
  /// Transfer time of one byte on the VM's link. After a change the pause is at
  /// least a multiple of the transfer time of all keys, up to maxPause, so that
  /// frequent changes of large values leave the link to the callers.
  std::chrono::nanoseconds timePerByte{ 0 };
  std::chrono::milliseconds maxPause{ 1500 };
  /// Within this time a change should be seen. The pause leaves room for the
  /// transfer that is under way when it is made, and for its own. Zero: no
  /// bound.
  std::chrono::milliseconds changeBound{ 0 };
  /// How long the view may lag behind a revision that another VM has announced
  /// before its own watch is considered hung. The transfer of all keys is
  /// allowed for in addition.
  std::chrono::milliseconds maxWatchLag{ 400 };
  /// The same while a forwarder sends the changes, if that is longer. The store
  /// cannot send large values to all VMs in place of slow forwarders.
  std::chrono::milliseconds maxForwardingLag{ 0 };
  /// Whether only the newest version of a key matters. The view then reads the
  /// keys, rather than all changes of them, if it lags or if the changes are
  /// larger than a few versions: a large value that is overwritten again and
  /// again is sent only once.
  bool skipsVersions = false;
  /// Backoff after failed calls, since every call has a cost. Short enough that
  /// a configuration written during an outage is applied in time after it.
  backoff_settings afterFailure{ std::chrono::milliseconds{ 100 },
                                 std::chrono::milliseconds{ 1500 } };
};

/// The keys below a prefix, or changes of them, as one VM sends them to
/// another.
struct key_update
{
  /// Whether `changes` holds all keys rather than only changes.
  bool isSnapshot = false;
  /// The changes are those after `after`, up to and including `upTo`.
  revision after;
  revision upTo;
  /// Whether the changes may have been made long before the sender saw them.
  bool mayBeStale = false;
  std::vector<key_change> changes;
  /// Whether the changes exceed the size limit and were omitted.
  bool isTooLarge = false;
};

/// The keys that have changed since the previous query.
struct changed_keys
{
  /// Any key may have changed, for instance because all keys were read again.
  bool isAll = false;
  /// The names of the changed keys, sorted and without duplicates. Empty if
  /// isAll.
  std::vector<std::string> keys;
};

/// Where the last change of a view's keys came from.
enum class change_source
{
  kNone,
  kRead,
  kWatch,
  kCheck,
  kOtherVm,
};

[[nodiscard]] std::string_view
NameOf(change_source aSource) noexcept;

/// Why a view calls the store itself.
enum class call_reason
{
  /// The keys are not known yet.
  kFirstRead,
  /// Another call has preceded this one, without a forwarder in between.
  kContinued,
  /// The time up to which a forwarder sends the changes has passed.
  kForwardingEnded,
  /// A change that another VM has announced did not arrive in time.
  kLagging,
  /// The store could not return the changes, or not in an answer that arrived:
  /// the keys are read.
  kChangesUnavailable,
};

[[nodiscard]] std::string_view
NameOf(call_reason aReason) noexcept;

/// A local copy of the keys below one prefix. The keys are read once and then
/// followed by watches. They are read again if the store has dropped the
/// changes in between or has been restored from an older snapshot. Another VM,
/// the forwarder, may watch the store on behalf of this one and forward the
/// changes; while it does, the view does not call the store. Not thread-safe.
class prefix_view
{
public:
  using items = absl::btree_map<std::string, item>;

  struct listener
  {
    /// The keys have changed.
    std::function<void(clock::time_point)> changed;
    /// The store has become reachable or unreachable.
    std::function<void(bool, std::error_code)> reachabilityChanged;
    /// A read was discarded because its revision (the first argument) is older
    /// than one seen before (the second).
    std::function<void(revision, revision)> staleReadIgnored = {};
    /// The view begins a read or a watch.
    std::function<void(call_reason)> callBegun = {};
    /// NextTick now returns an earlier time than before.
    std::function<void()> callDue = {};
  };

  prefix_view(key_value& aStore,
              std::string aPrefix,
              prefix_view_settings aSettings,
              listener aListener);
  ~prefix_view();
  prefix_view(const prefix_view&) = delete;
  prefix_view& operator=(const prefix_view&) = delete;

  /// Makes the call that is due, if any. The random number is in [0, 1).
  void Tick(clock::time_point aNow, double aRandom);

  /// When Tick must be called next; time_point::max() while no call may be
  /// made.
  [[nodiscard]] clock::time_point NextTick() const noexcept;

  /// Reports that another VM has seen a change of this revision. If the own
  /// watch does not deliver it in time, the watch is considered hung: it is
  /// cancelled and the keys are read again.
  void NotifyRevision(revision aChange, clock::time_point aNow);

  /// Reads the keys again immediately. Called when the store is back after an
  /// outage, because a watch started during the outage may never be answered.
  void Refresh(clock::time_point aNow);

  /// Reports that the store has been restored from an older snapshot. A view
  /// with a forwarder receives the new content from there. Reads count as
  /// verification only after lost changes have had time to be written again.
  void OnEraChanged(clock::time_point aNow);

  /// Sets until when a forwarder sends the changes. No watch is started before
  /// then, and one that is waiting is cancelled soon: the store would send each
  /// change to every VM that watches it.
  void ForwardedUntil(clock::time_point aUntil) noexcept
  {
    mForwardedUntil = aUntil;
  }
  [[nodiscard]] clock::time_point ForwardedUntil() const noexcept
  {
    return mForwardedUntil;
  }

  /// Delays the first read of the keys until then, since other VMs may send all
  /// of them.
  void DelayFirstReadUntil(clock::time_point aFrom) noexcept
  {
    mFirstReadNotBefore = aFrom;
  }

  /// Asks the store for newer changes, regardless of other calls in progress.
  /// Calls back with whether the store has answered.
  void Check(clock::time_point aNow,
             std::function<void(bool, clock::time_point)> aDone);

  /// Reports that, according to another VM, the store held nothing newer than
  /// these keys at that time. Has no effect shortly after the store was
  /// restored from an older snapshot: it may have lost acknowledged changes
  /// that are yet to be written again.
  void MarkVerified(clock::time_point aAt) noexcept;

  /// The latest time at which the store is known to have held nothing newer
  /// than these keys.
  [[nodiscard]] clock::time_point VerifiedAt() const noexcept
  {
    return mVerifiedAt;
  }

  /// Applies an update from another VM. Changes that would leave a gap, or that
  /// are not newer, are ignored. Returns whether the view now includes
  /// everything up to the end of the update, and so is at least as recent as
  /// the other VM's.
  bool ApplyUpdate(const key_update& aUpdate, clock::time_point aNow);

  /// Returns the update for another VM that knows everything up to the given
  /// revision. For a VM that is a few changes behind, the cost is proportional
  /// to the number of these changes. If keys and values exceed the size limit
  /// in bytes, they are omitted and isTooLarge is set.
  [[nodiscard]] key_update UpdateSince(
    revision aKnown,
    std::size_t aMaxBytes = std::numeric_limits<std::size_t>::max()) const;

  /// Pause between two transfers of all keys over the VM's link, which leaves
  /// most of the link to the callers. Zero if no transfer time is set.
  [[nodiscard]] std::chrono::milliseconds TransferPause() const;

  /// Returns the keys that have changed since the last call, so that readers
  /// can process them incrementally.
  [[nodiscard]] changed_keys TakeChangedKeys();

  /// Number of keys examined so far to compute updates for other VMs; a measure
  /// of their cost.
  [[nodiscard]] std::uint64_t KeysExamined() const noexcept
  {
    return mKeysExamined;
  }

  /// Suspends calls to the store while this VM's calls fail; another kind of
  /// call detects when the store answers again.
  void SetPaused(bool aIsPaused) noexcept { mIsPaused = aIsPaused; }

  /// The latest time at which the keys were known to match the store. A pending
  /// watch reports nothing, so while one is waiting, the time of the last
  /// response to any call counts.
  [[nodiscard]] clock::time_point CurrentAt(
    clock::time_point aLastAnswer) const noexcept;

  /// The newest change seen.
  [[nodiscard]] revision Changed() const noexcept { return mChanged; }

  /// Whether the keys have been read at least once.
  [[nodiscard]] bool IsKnown() const noexcept { return mIsKnown; }
  /// Whether the store is reachable, as last reported to
  /// listener::reachabilityChanged.
  [[nodiscard]] bool IsReached() const noexcept { return mIsReachable; }
  /// Whether the last changes may have been made long before they were seen:
  /// they came with a read of all keys, or after a watch had failed.
  [[nodiscard]] bool MayBeStale() const noexcept { return mMayBeStale; }
  /// The revision up to which all changes are known.
  [[nodiscard]] revision Seen() const noexcept { return mSeen; }
  [[nodiscard]] const items& Items() const noexcept { return mItems; }
  [[nodiscard]] change_source LastSource() const noexcept { return mSource; }
  /// Whether a call to the store is in progress, besides a check.
  [[nodiscard]] bool IsCalling() const noexcept { return mIsCalling; }

private:
  void ReadAgain();
  void ReadImmediately(clock::time_point aNow);
  void Read(clock::time_point aNow);
  [[nodiscard]] bool ReplaceAll(std::vector<item> aItems,
                                revision aRevision,
                                clock::time_point aNow);
  [[nodiscard]] bool CanMerge(const std::vector<item>& aItems) const;
  void Merge(std::vector<item> aItems, revision aRevision);
  void ReportDiscardedRead(revision aRead);
  void ReportCall();
  void CancelRedundantWatch(bool aIsForwarded, clock::time_point aNow);
  [[nodiscard]] bool ApplyChange(key_change aChange);
  void RecordChange(const std::string& aKey, revision aAt);
  void AddRecentChanges(key_update& aTo, std::size_t aMaxBytes) const;
  void AddByScan(key_update& aTo, std::size_t aMaxBytes) const;
  void AddRemovals(key_update& aTo) const;
  [[nodiscard]] bool ApplyChanges(std::vector<key_change> aChanges,
                                  revision aUpTo);
  void StartWatch(clock::time_point aNow);
  void OnWatchFailure(std::error_code aError, clock::time_point aNow);
  void CallImmediately(clock::time_point aNow);
  void OnFailure(std::error_code aError, clock::time_point aNow);
  void OnSuccess(bool aChanged, clock::time_point aNow);
  [[nodiscard]] std::chrono::milliseconds TransferTime() const;
  [[nodiscard]] std::chrono::milliseconds Pause() const;
  [[nodiscard]] std::size_t MaxWatchBytes() const;
  [[nodiscard]] std::size_t MaxCheckBytes() const;
  [[nodiscard]] std::chrono::milliseconds MaxLag(clock::time_point aNow) const;

  key_value& mStore;
  std::string mPrefix;
  prefix_view_settings mSettings;
  listener mListener;
  backoff mBackoff;
  items mItems;
  revision mSeen;
  revision mChanged;
  std::optional<clock::time_point> mLaggingSince;
  bool mIsKnown = false;
  bool mMustRead = true;
  // The next read replaces a watch that had changes.
  bool mReadsChanges = false;
  bool mIsReachable = false;
  bool mMayBeStale = true;
  change_source mSource = change_source::kNone;
  // Why the next call is made.
  call_reason mNextCall = call_reason::kFirstRead;
  // Whether a watch has failed since the last response.
  bool mMayHaveMissedChanges = true;
  bool mIsCalling = false;
  // Whether the watch was cancelled because a forwarder sends the changes.
  bool mIsWatchCancelled = false;
  bool mIsPaused = false;
  bool mIsChecking = false;
  // The revision of the last read that was discarded.
  revision mDiscardedRead;
  clock::time_point mVerifiedAt{};
  // From when on responses of the current era count as verification.
  clock::time_point mVerifiableFrom{};
  clock::time_point mForwardedUntil{};
  // The forwarders have not delivered an announced change in time. The view
  // follows the store itself until it has made progress.
  bool mIsForwarderLate = false;
  // Since when a forwarder has sent the changes without interruption.
  std::optional<clock::time_point> mForwardedSince;
  clock::time_point mFirstReadNotBefore{};
  // When the last response to a call for these keys arrived.
  clock::time_point mAnsweredAt{};
  // The removals after mRemovalsAfter, oldest first, for updates to other VMs.
  std::deque<key_change> mRemovals;
  revision mRemovalsAfter;
  // The last changes, oldest first, complete from mRecentChangesAfter on. Most
  // updates to other VMs are computed from these alone.
  std::deque<std::pair<revision, std::string>> mRecentChanges;
  revision mRecentChangesAfter;
  // Total size of all keys and values.
  std::size_t mBytes = 0;
  changed_keys mChangedKeys;
  mutable std::uint64_t mKeysExamined = 0;
  clock::time_point mNotBefore{};
  double mRandom = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::store

#endif
