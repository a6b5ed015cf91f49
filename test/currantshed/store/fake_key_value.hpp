#ifndef CURRANTSHED_TEST_STORE_FAKE_KEY_VALUE_HPP
#define CURRANTSHED_TEST_STORE_FAKE_KEY_VALUE_HPP

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/store/errors.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::test {

/// An in-memory store. Calls are queued until a test has them answered; tests
/// set the errors and outcomes of the responses.
class fake_key_value final : public store::key_value
{
public:
  struct watch
  {
    std::string prefix;
    store::revision after;
    watch_callback done;
  };

  clock::time_point now{ std::chrono::hours{ 1 } };
  std::map<std::string, store::item> items;
  std::vector<store::key_change> history;
  std::uint64_t revision = 1;
  std::set<std::uint64_t> leases;
  std::uint64_t lastLease = 0;
  /// Error with which calls are answered; none if they succeed.
  std::error_code failing;
  store::commit_outcome commitOutcome = store::commit_outcome::kApplied;
  /// Whether commits are applied but their responses lost.
  bool losesResponses = false;
  std::vector<watch> watches;
  std::chrono::milliseconds callTimeout{ 0 };
  /// The era that responses report; none if they report no era.
  std::optional<store::era_id> era;
  /// Leases that a call has renewed or ended.
  std::set<std::uint64_t> touched;
  int ranges = 0;
  int checks = 0;
  int commits = 0;

  /// Takes the snapshot that RestoreSnapshot goes back to.
  void TakeSnapshot()
  {
    mSnapshot = { items, history, revision, leases, lastLease };
  }

  /// Restores the snapshot: later writes are lost, revisions and lease numbers
  /// are issued again, and watches fail.
  void RestoreSnapshot()
  {
    FailWatches(store::errc::kTimeout);
    items = mSnapshot.items;
    history = mSnapshot.history;
    revision = mSnapshot.revision;
    leases = mSnapshot.leases;
    lastLease = mSnapshot.lastLease;
    SetEra(era ? std::optional(*era + 1) : std::nullopt);
  }

  /// From now on responses report this era, also for keys written before.
  void SetEra(std::optional<store::era_id> aEra)
  {
    era = aEra;
    for (auto& [key, item] : items) {
      item.changed.era = era.value_or(0);
      item.lease.era = era.value_or(0);
    }
    for (auto& change : history) {
      change.now.changed.era = era.value_or(0);
      change.now.lease.era = era.value_or(0);
    }
  }

  /// The store's current state.
  [[nodiscard]] store::revision At() const
  {
    return { era.value_or(0), revision };
  }

  void Put(const std::string& aKey,
           const std::string& aValue,
           std::uint64_t aLease = 0)
  {
    ++revision;
    items[aKey] = { aKey, aValue, At(), { era.value_or(0), aLease } };
    history.push_back({ items[aKey], false });
  }

  void Remove(const std::string& aKey)
  {
    items.erase(aKey);
    ++revision;
    history.push_back({ { aKey, "", At(), {} }, true });
  }

  void EndLease(std::uint64_t aLease)
  {
    leases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease.number == aLease) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      Remove(key);
    }
  }

  /// Answers all queued calls, including those made by their callbacks, and
  /// watches with changes.
  void Answer()
  {
    while (!mCalls.empty()) {
      const auto call = std::move(mCalls.front());
      mCalls.pop_front();
      call();
    }
    AnswerWatches();
  }

  /// Fails all watches.
  void FailWatches(std::error_code aError)
  {
    for (auto& one : std::exchange(watches, {})) {
      one.done(aError, {}, {}, Reply());
    }
  }

  void SetCallTimeout(std::chrono::milliseconds aTimeout) override
  {
    callTimeout = aTimeout;
  }

  void Get(std::string aKey, item_callback aDone) override
  {
    mCalls.push_back([this, aKey, aDone] {
      const auto found = items.find(aKey);
      aDone(failing,
            found == items.end() ? std::nullopt : std::optional(found->second),
            Reply());
    });
  }

  void Range(std::string aPrefix, range_callback aDone) override
  {
    ++ranges;
    mCalls.push_back([this, aPrefix, aDone] {
      std::vector<store::item> found;
      for (const auto& [key, item] : items) {
        if (key.starts_with(aPrefix)) {
          found.push_back(item);
        }
      }
      aDone(failing, found, At(), Reply());
    });
  }

  void Watch(store::changes_request aWhat,
             std::chrono::milliseconds,
             watch_callback aDone) override
  {
    watches.push_back({ aWhat.prefix, aWhat.after, aDone });
  }

  void ChangesSince(store::changes_request aWhat, watch_callback aDone) override
  {
    ++checks;
    mCalls.push_back([this, aWhat, aDone] {
      aDone(HistoryError(aWhat.after),
            Changes(aWhat.prefix, aWhat.after),
            At(),
            Reply());
    });
  }

  void CancelWatch(const std::string& aPrefix) override
  {
    for (std::size_t i = 0; i < watches.size(); ++i) {
      if (watches[i].prefix == aPrefix) {
        const auto done = watches[i].done;
        watches.erase(watches.begin() + static_cast<std::ptrdiff_t>(i));
        done(store::errc::kTimeout, {}, {}, Reply());
        return;
      }
    }
  }

  void Commit(store::transaction aTransaction, commit_callback aDone) override
  {
    ++commits;
    mCalls.push_back([this, aTransaction, aDone] {
      auto outcome = commitOutcome;
      for (const auto& one : aTransaction.conditions) {
        const auto found = items.find(one.key);
        const auto now =
          found == items.end() ? 0 : found->second.changed.number;
        if (now != one.changed.number) {
          outcome = store::commit_outcome::kConflict;
        }
      }
      if (outcome == store::commit_outcome::kApplied) {
        for (const auto& one : aTransaction.puts) {
          Put(one.key, one.value, one.lease.number);
        }
      }
      aDone(losesResponses ? store::commit_outcome::kUnknown : outcome,
            At(),
            Reply());
    });
  }

  void Grant(std::chrono::milliseconds, grant_callback aDone) override
  {
    mCalls.push_back([this, aDone] {
      if (!failing) {
        leases.insert(++lastLease);
      }
      aDone(failing, { era.value_or(0), lastLease }, Reply());
    });
  }

  void KeepAlive(store::lease_id aLease, keep_alive_callback aDone) override
  {
    mCalls.push_back([this, aLease, aDone] {
      touched.insert(aLease.number);
      const bool exists = leases.contains(aLease.number);
      aDone(failing  ? failing
            : exists ? std::error_code{}
                     : make_error_code(store::errc::kLeaseNotFound),
            Reply());
    });
  }

  void Revoke(store::lease_id aLease) override
  {
    touched.insert(aLease.number);
    EndLease(aLease.number);
  }

private:
  [[nodiscard]] std::vector<store::key_change> Changes(
    const std::string& aPrefix,
    store::revision aAfter) const
  {
    std::vector<store::key_change> changes;
    for (const auto& change : history) {
      if (change.now.changed.number > aAfter.number &&
          change.now.key.starts_with(aPrefix)) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  // The error of a call that asks for changes after a revision: the store
  // rejects revisions above its own.
  [[nodiscard]] std::error_code HistoryError(store::revision aAfter) const
  {
    return !failing && aAfter.number > revision
             ? make_error_code(store::errc::kHistoryCompacted)
             : failing;
  }

  [[nodiscard]] store::response_info Reply() const { return { now, era }; }

  void AnswerWatches()
  {
    for (auto& one : std::exchange(watches, {})) {
      if (one.after.number > revision) {
        one.done(store::errc::kHistoryCompacted, {}, {}, Reply());
        continue;
      }
      const auto changes = Changes(one.prefix, one.after);
      if (changes.empty()) {
        watches.push_back(one);
      } else {
        one.done({}, changes, At(), Reply());
      }
    }
  }

  struct snapshot
  {
    std::map<std::string, store::item> items;
    std::vector<store::key_change> history;
    std::uint64_t revision = 1;
    std::set<std::uint64_t> leases;
    std::uint64_t lastLease = 0;
  };

  std::deque<std::function<void()>> mCalls;
  snapshot mSnapshot;
};

} // namespace currantshed::test

#endif
