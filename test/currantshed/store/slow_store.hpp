#ifndef CURRANTSHED_TEST_STORE_SLOW_STORE_HPP
#define CURRANTSHED_TEST_STORE_SLOW_STORE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/store/errors.hpp"
#include "currantshed/store/key_value.hpp"

namespace currantshed::test {

/// What becomes of the answer to a watch that has changes.
enum class watch_fault
{
  kNone,
  /// It ends in the middle of its transfer.
  kCut,
  kMalformed,
  /// The changes are no longer available.
  kHistoryGone,
  /// The store has been restored in between, once.
  kEraChange,
};

/// A store with one key and a history of its versions, behind a link on which
/// answers take time in proportion to their size. Does not read the clock.
class slow_store final : public store::key_value
{
public:
  /// Limit of the client for any answer, in bytes of values.
  static constexpr std::size_t kMaxAnswer = std::size_t{ 6 } << 20U;

  clock::time_point now{ std::chrono::hours{ 1 } };
  std::chrono::nanoseconds timePerByte{ 0 };
  watch_fault fault = watch_fault::kNone;
  /// Calls that were answered or failed, and bytes that came over the link.
  int calls = 0;
  std::size_t bytes = 0;

  void Put(std::string aValue)
  {
    mVersions.push_back(
      { "a/1", std::move(aValue), { mEra, ++mRevision }, {} });
  }

  [[nodiscard]] store::revision Newest() const { return { mEra, mRevision }; }

  /// Answers the calls that are due, and watches that have changes.
  void Answer()
  {
    if (mWatch && mVersions.back().changed.number > mWatch->what.after.number) {
      AnswerWatch(*std::exchange(mWatch, std::nullopt));
    }
    for (std::size_t i = 0; i < mAnswers.size();) {
      if (mAnswers[i].first > now) {
        ++i;
        continue;
      }
      const auto answer = std::move(mAnswers[i].second);
      mAnswers.erase(mAnswers.begin() + static_cast<std::ptrdiff_t>(i));
      answer();
    }
  }

  void Range(std::string, range_callback aDone) override
  {
    ++calls;
    const auto newest = mVersions.back();
    Transfer(newest.value.size(), [this, aDone, newest] {
      aDone({}, { newest }, newest.changed, Info());
    });
  }

  void Watch(store::changes_request aWhat,
             std::chrono::milliseconds,
             watch_callback aDone) override
  {
    ++calls;
    mWatch = { std::move(aWhat), std::move(aDone) };
  }

  void ChangesSince(store::changes_request aWhat, watch_callback aDone) override
  {
    Watch(std::move(aWhat), {}, std::move(aDone));
  }

  void CancelWatch(const std::string&) override
  {
    if (mWatch) {
      Fail(std::exchange(mWatch, std::nullopt)->done, store::errc::kTimeout, 0);
    }
  }

  void SetCallTimeout(std::chrono::milliseconds) override {}
  void Get(std::string, item_callback) override {}
  void Commit(store::transaction, commit_callback) override {}
  void Grant(std::chrono::milliseconds, grant_callback) override {}
  void KeepAlive(store::lease_id, keep_alive_callback) override {}
  void Revoke(store::lease_id) override {}

private:
  struct watch
  {
    store::changes_request what;
    watch_callback done;
  };

  void AnswerWatch(const watch& aWatch)
  {
    std::vector<store::key_change> changes;
    std::size_t size = 0;
    for (const auto& one : mVersions) {
      if (one.changed.number > aWatch.what.after.number) {
        changes.push_back({ one, false });
        size += one.value.size();
      }
    }
    const auto& done = aWatch.done;
    if (fault == watch_fault::kHistoryGone) {
      Fail(done, store::errc::kHistoryCompacted, 0);
    } else if (size > std::min(aWatch.what.maxBytes, kMaxAnswer)) {
      Fail(done, store::errc::kTooLarge, 0);
    } else if (fault == watch_fault::kCut) {
      Fail(done, store::errc::kIncomplete, size / 2);
    } else if (fault == watch_fault::kMalformed) {
      Fail(done, store::errc::kMalformed, size);
    } else {
      if (fault == watch_fault::kEraChange) {
        fault = watch_fault::kNone;
        BeginEra();
      }
      Transfer(size, [this, done, changes, at = Newest()] {
        done({}, changes, at, Info());
      });
    }
  }

  void BeginEra()
  {
    ++mEra;
    for (auto& one : mVersions) {
      one.changed.era = mEra;
    }
  }

  void Fail(const watch_callback& aDone, store::errc aError, std::size_t aBytes)
  {
    Transfer(aBytes, [this, aDone, aError] { aDone(aError, {}, {}, Info()); });
  }

  void Transfer(std::size_t aBytes, std::function<void()> aDone)
  {
    bytes += aBytes;
    const auto time = std::chrono::duration_cast<clock::duration>(
      timePerByte * static_cast<std::int64_t>(aBytes));
    mLinkFreeAt = std::max(mLinkFreeAt, now) + time;
    mAnswers.emplace_back(mLinkFreeAt, std::move(aDone));
  }

  [[nodiscard]] store::response_info Info() const { return { now, mEra }; }

  store::era_id mEra = 1;
  std::uint64_t mRevision = 0;
  std::vector<store::item> mVersions;
  std::optional<watch> mWatch;
  clock::time_point mLinkFreeAt{};
  std::vector<std::pair<clock::time_point, std::function<void()>>> mAnswers;
};

} // namespace currantshed::test

#endif
