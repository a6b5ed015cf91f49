#ifndef CURRANTSHED_TEST_PLATFORM_FAKE_CLIENT_HPP
#define CURRANTSHED_TEST_PLATFORM_FAKE_CLIENT_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/clock/time.hpp"
#include "currantshed/store/client.hpp"
#include "currantshed/store/errors.hpp"

namespace currantshed::store {

/// An in-memory platform on virtual time. A call takes effect and is answered
/// during Run once its delay has passed; callbacks run only during Run. Faults
/// apply to calls at the time when they take effect.
class fake_client final : public client
{
public:
  /// Number of calls made so far, by kind.
  struct call_counts
  {
    std::uint64_t gets = 0;
    std::uint64_t watches = 0;
    std::uint64_t swaps = 0;
    std::uint64_t lists = 0;
  };

  void Get(std::string aKey, entry_callback aDone) override
  {
    ++mCounts.gets;
    Enqueue([this, key = std::move(aKey), done = std::move(aDone)] {
      if (mOutage) {
        done(errc::kUnreachable, {});
        return;
      }
      done({}, Peek(key));
    });
  }

  void Watch(std::string aKey,
             index aKnown,
             std::chrono::milliseconds aMaxWait,
             entry_callback aDone) override
  {
    ++mCounts.watches;
    mWatches.push_back({ std::move(aKey),
                         aKnown,
                         mNow + mDelay,
                         mNow + mDelay + aMaxWait,
                         std::move(aDone) });
  }

  void Swap(std::string aKey,
            std::string aValue,
            index aExpected,
            swap_callback aDone) override
  {
    ++mCounts.swaps;
    Enqueue([this,
             key = std::move(aKey),
             value = std::move(aValue),
             aExpected,
             done = std::move(aDone)] {
      if (mOutage || TakeOne(mLostBefore)) {
        done(swap_outcome::kUnknown);
        return;
      }
      const bool applied = Peek(key).version == aExpected;
      if (applied) {
        Put(key, value);
      }
      if (TakeOne(mLostAfter)) {
        done(swap_outcome::kUnknown);
        return;
      }
      done(applied ? swap_outcome::kApplied : swap_outcome::kConflict);
    });
  }

  void List(listing_callback aDone) override
  {
    ++mCounts.lists;
    Enqueue([this, done = std::move(aDone)] {
      if (mOutage) {
        done(errc::kUnreachable, {});
        return;
      }
      done({}, mListing);
    });
  }

  /// Writes a key as another client would.
  void Put(const std::string& aKey, std::string aValue)
  {
    mEntries[aKey] = entry{ std::move(aValue), ++mIndex };
  }

  void Erase(const std::string& aKey)
  {
    ++mIndex;
    mEntries.erase(aKey);
  }

  /// The key's current entry, without a call.
  [[nodiscard]] entry Peek(const std::string& aKey) const
  {
    const auto found = mEntries.find(aKey);
    return found == mEntries.end() ? entry{} : found->second;
  }

  void SetListing(listing aListing) { mListing = std::move(aListing); }

  /// During an outage calls fail and watches end with an error.
  void SetOutage(bool aOutage) { mOutage = aOutage; }

  /// Sets the delay of calls made from now on.
  void SetDelay(std::chrono::milliseconds aDelay) { mDelay = aDelay; }

  /// The next calls of Swap have no effect and get no response.
  void LoseBeforeEffect(unsigned aCount) { mLostBefore = aCount; }

  /// The next calls of Swap take effect and get no response.
  void LoseAfterEffect(unsigned aCount) { mLostAfter = aCount; }

  [[nodiscard]] const call_counts& Counts() const { return mCounts; }

  [[nodiscard]] std::size_t PendingWatches() const { return mWatches.size(); }

  /// Advances the time and runs all callbacks due by then in order, including
  /// those of calls made meanwhile.
  void Run(clock::time_point aNow)
  {
    mNow = aNow;
    bool again = true;
    while (again) {
      again = RunDueCall() || EndDueWatch();
    }
  }

private:
  struct pending_call
  {
    clock::time_point due;
    std::function<void()> act;
  };

  struct pending_watch
  {
    std::string key;
    index known;
    clock::time_point arrives;
    clock::time_point ends;
    entry_callback done;
  };

  static bool TakeOne(unsigned& aCount)
  {
    if (aCount == 0) {
      return false;
    }
    --aCount;
    return true;
  }

  void Enqueue(std::function<void()> aAct)
  {
    mCalls.push_back({ mNow + mDelay, std::move(aAct) });
  }

  bool RunDueCall()
  {
    const auto due = std::min_element(
      mCalls.begin(), mCalls.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.due < aRight.due;
      });
    if (due == mCalls.end() || due->due > mNow) {
      return false;
    }
    const auto act = std::move(due->act);
    mCalls.erase(due);
    act();
    return true;
  }

  bool EndDueWatch()
  {
    const auto due = std::find_if(
      mWatches.begin(), mWatches.end(), [this](const auto& aWatch) {
        const bool changed = Peek(aWatch.key).version != aWatch.known;
        return aWatch.arrives <= mNow &&
               (mOutage || changed || aWatch.ends <= mNow);
      });
    if (due == mWatches.end()) {
      return false;
    }
    const auto watch = std::move(*due);
    mWatches.erase(due);
    if (mOutage) {
      watch.done(errc::kUnreachable, {});
    } else {
      watch.done({}, Peek(watch.key));
    }
    return true;
  }

  clock::time_point mNow{};
  std::chrono::milliseconds mDelay{ 0 };
  bool mOutage = false;
  unsigned mLostBefore = 0;
  unsigned mLostAfter = 0;
  index mIndex = 0;
  call_counts mCounts;
  std::map<std::string, entry> mEntries;
  listing mListing;
  std::vector<pending_call> mCalls;
  std::vector<pending_watch> mWatches;
};

} // namespace currantshed::store

#endif
