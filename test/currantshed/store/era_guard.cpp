#include "currantshed/store/era_guard.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "test/currantshed/store/fake_key_value.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

/// A guarded store, and how the last call ended.
struct guarded
{
  /// Lets the guard learn of an era from the response to another call.
  void ReportEra(std::optional<store::era_id> aEra)
  {
    inner.era = aEra;
    guard.KeepAlive({ guard.Era().value_or(0), 1 },
                    [](std::error_code, store::response_info) {});
    inner.Answer();
  }

  void Answer()
  {
    inner.Answer();
    for (const auto& call : std::exchange(posted, {})) {
      call();
    }
  }

  test::fake_key_value inner;
  std::vector<std::function<void()>> posted;
  std::vector<std::pair<std::optional<store::era_id>, store::era_id>>
    eraChanges;
  store::era_guard guard{ inner,
                          { [this](std::function<void()> aCall) {
                             posted.push_back(std::move(aCall));
                           },
                            [this](std::optional<store::era_id> aBefore,
                                   store::era_id aNow) {
                              eraChanges.emplace_back(aBefore, aNow);
                            } } };
  std::optional<std::error_code> error;
  store::key_value::watch_callback onWatch =
    [this](std::error_code aError, const auto&, auto, auto) { error = aError; };
};

struct guard_row
{
  const char* name;
  /// The eras that the guard knows, of the call, and of its response.
  std::optional<store::era_id> known;
  store::era_id callEra;
  std::optional<store::era_id> responseEra;
  std::error_code expect;
};

const guard_row kRows[] = {
  { "a store that reports no era", {}, 0, {}, {} },
  { "the first era", {}, 0, 3, {} },
  { "the current era", 3, 3, 3, {} },
  { "the response reports a new era", 3, 3, 4, {} },
  { "the response is of an earlier era", 4, 4, 3, store::errc::kStaleEra },
  { "the call's revision is of an earlier era",
    4,
    3,
    4,
    store::errc::kStaleEra },
};

} // namespace

TEST_GROUP(era_guard){};

TEST(era_guard, keeps_positions_of_earlier_eras_from_the_store)
{
  for (const auto& row : kRows) {
    for (const bool isWatch : { true, false }) {
      guarded made;
      made.inner.Put("a/1", "one");
      made.ReportEra(row.known);
      made.inner.era = row.responseEra;
      const store::revision after{ row.callEra, 1 };
      if (isWatch) {
        made.guard.Watch({ "a/", after }, 1s, made.onWatch);
      } else {
        made.guard.ChangesSince({ "a/", after }, made.onWatch);
      }
      CHECK_TEXT(!made.error, row.name);
      made.Answer();
      CHECK_TEXT(made.error && *made.error == row.expect, row.name);
    }
  }
}

TEST(era_guard, rejects_reads_of_earlier_eras)
{
  guarded made;
  made.ReportEra(4);
  made.inner.era = 3;
  std::error_code read;
  std::error_code got;
  made.guard.Range(
    "a/", [&read](std::error_code aError, auto, auto, auto) { read = aError; });
  made.guard.Get("a/1",
                 [&got](std::error_code aError, auto, auto) { got = aError; });
  made.Answer();
  CHECK(read == store::errc::kStaleEra);
  CHECK(got == store::errc::kStaleEra);
}

TEST(era_guard, tells_of_each_era_once)
{
  guarded made;
  const std::vector<std::optional<store::era_id>> heard{ {}, 0, 0, {},
                                                         1,  3, 1, 3 };
  for (const auto& era : heard) {
    made.ReportEra(era);
  }
  LONGS_EQUAL(3, made.eraChanges.size());
  CHECK(!made.eraChanges[0].first && made.eraChanges[0].second == 0);
  CHECK(made.eraChanges[1].first == 0 && made.eraChanges[1].second == 1);
  CHECK(made.eraChanges[2].first == 1 && made.eraChanges[2].second == 3);
  CHECK(made.guard.Era() == 3);
}

namespace {

struct commit_row
{
  const char* name;
  /// The eras that the guard knows, of the condition, and of the response.
  std::optional<store::era_id> known;
  store::era_id read;
  std::optional<store::era_id> responseEra;
  store::commit_outcome expect;
  /// Whether the transaction is sent to the store.
  bool isSent;
};

const commit_row kCommitRows[] = {
  { "a store that reports no era",
    {},
    0,
    {},
    store::commit_outcome::kApplied,
    true },
  { "read and applied in one era",
    3,
    3,
    3,
    store::commit_outcome::kApplied,
    true },
  { "read in an earlier era",
    4,
    3,
    4,
    store::commit_outcome::kConflict,
    false },
  { "sent in one era and applied in the next",
    3,
    3,
    4,
    store::commit_outcome::kUnknown,
    true },
};

} // namespace

// A new era issues revisions again, so a condition may hold although the key
// holds a value that the sender has not read.
TEST(era_guard, takes_no_change_as_done_that_was_read_in_an_earlier_era)
{
  for (const auto& row : kCommitRows) {
    for (const std::uint64_t number : { 0, 2 }) {
      guarded made;
      if (number != 0) {
        made.inner.Put("a/1", "one");
      }
      made.ReportEra(row.known);
      made.inner.SetEra(row.responseEra);
      std::optional<store::commit_outcome> outcome;
      store::transaction change;
      change.conditions.push_back({ "a/1", { row.read, number } });
      change.puts.push_back({ "a/1", "two", {}, {} });
      made.guard.Commit(
        change, [&outcome](auto aOutcome, auto, auto) { outcome = aOutcome; });
      made.Answer();
      CHECK_TEXT(outcome == row.expect, row.name);
      CHECK_EQUAL_TEXT(row.isSent ? 1 : 0, made.inner.commits, row.name);
    }
  }
}

TEST(era_guard, writes_no_key_under_a_lease_of_an_earlier_era)
{
  guarded made;
  made.ReportEra(4);
  for (const store::era_id era : { 3, 4 }) {
    std::optional<store::commit_outcome> outcome;
    store::transaction change;
    change.conditions.push_back({ "a/1", { 4, 0 } });
    change.puts.push_back({ "a/1", "one", {}, { era, 7 } });
    made.guard.Commit(
      change, [&outcome](auto aOutcome, auto, auto) { outcome = aOutcome; });
    made.Answer();
    CHECK(outcome == (era == 4 ? store::commit_outcome::kApplied
                               : store::commit_outcome::kLeaseNotFound));
    CHECK_EQUAL(era == 4, made.inner.items.contains("a/1"));
  }
}
