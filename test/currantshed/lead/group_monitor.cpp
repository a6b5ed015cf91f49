#include "currantshed/lead/group_monitor.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using lead::group_monitor;
using proxy::command_kind;
using test::kStart;
using test::kStep;
using test::monitor_fixture;
using test::ReceiveReachUpdate;

namespace {

struct takeover_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// The server that is promoted in the end, or empty.
  std::string promoted;
  /// Bounds on the time until then.
  std::chrono::milliseconds atLeast;
  std::chrono::milliseconds atMost;
};

const takeover_row kTakeoverRows[] = {
  { "a healthy primary stays", [](monitor_fixture&) {}, "", 0ms, 0ms },
  { "an unresponsive primary is replaced by the server with the longest log",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.servers["c"].received = { 1, 11 };
    },
    "c",
    600ms,
    1600ms },
  { "an unresponsive primary that another VM reaches stays",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.onStep = [&aFixture] {
        ReceiveReachUpdate(aFixture, "vm-2", 0);
      };
    },
    "",
    0ms,
    0ms },
  { "a VM that does not acknowledge delays the promotion until expiry",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.vms = { { "vm-2" } };
    },
    "b",
    1600ms,
    2600ms },
  { "an unknown list of VMs delays the promotion until expiry",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.vms.reset();
    },
    "b",
    1600ms,
    2600ms },
  { "a VM that acknowledges at once causes no delay",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.vms = { { "vm-2" } };
      aFixture.onStep = [&aFixture] {
        const bool isRevoked =
          !aFixture.revocations.empty() && aFixture.revocations.back() == 1;
        aFixture.monitor.ReachUpdateReceived(
          "vm-2",
          { 1, "", {}, isRevoked ? 1U : 0U, aFixture.now },
          aFixture.now);
      };
    },
    "b",
    600ms,
    1600ms },
  { "one of three servers is no majority for a takeover",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.servers["b"].answers = false;
      aFixture.vms = { { "vm-2" } };
    },
    "",
    0ms,
    0ms },
  { "a draining primary is replaced by a server with its whole log",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].received = { 1, 20 };
      aFixture.servers["c"].received = { 1, 20 };
      aFixture.monitor.Configure({ { "a", false, true }, { "b" }, { "c" } },
                                 aFixture.now);
    },
    "c",
    0ms,
    1000ms },
  { "a server that the platform rejects is skipped",
    [](monitor_fixture& aFixture) {
      aFixture.servers["a"].answers = false;
      aFixture.servers["b"].received = { 1, 11 };
      aFixture.rejectsFirst = true;
    },
    "c",
    600ms,
    1900ms },
  { "a group without a primary gets one",
    [](monitor_fixture& aFixture) { aFixture.servers["a"].primary = false; },
    "a",
    1200ms,
    4500ms },
};

} // namespace

TEST_GROUP(group_monitor){};

TEST(group_monitor, monitors_and_replaces_the_primary)
{
  for (const auto& row : kTakeoverRows) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    CHECK_TEXT(fixture.promoted.empty(), row.name);
    CHECK_TEXT(!fixture.confirmations.empty(), row.name);
    row.given(fixture);
    const auto from = fixture.now;
    clock::time_point at{};
    while (fixture.now < from + 6s) {
      fixture.Run(kStep);
      if (at == clock::time_point{} &&
          fixture.monitor.Confirmation().term == 2) {
        at = fixture.now;
      }
    }
    if (row.promoted.empty()) {
      CHECK_TEXT(fixture.promoted.empty(), row.name);
      continue;
    }
    CHECK_TEXT(at != clock::time_point{}, row.name);
    CHECK_TEXT(fixture.promoted.back() == row.promoted, row.name);
    CHECK_TEXT(at - from >= row.atLeast, row.name);
    CHECK_TEXT(at - from <= row.atMost, row.name);
    CHECK_TEXT(fixture.monitor.Confirmation().primary == row.promoted,
               row.name);
    CHECK_TEXT(fixture.revocations.back() == 0, row.name);
  }
}

TEST(group_monitor, an_old_primary_that_comes_back_steps_down)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.Run(3000ms);
  CHECK(fixture.monitor.Confirmation().term == 2);
  fixture.servers["a"].answers = true;
  fixture.Run(3000ms);
  CHECK(!fixture.servers["a"].primary);
  CHECK(fixture.monitor.Confirmation().primary == "b");
  // The fences of the takeover are lifted.
  CHECK_EQUAL(0, static_cast<int>(fixture.servers["c"].fencedAt));
}

TEST(group_monitor,
     a_primary_that_only_other_VMs_reach_is_confirmed_through_them)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.servers["a"].answersThroughOthers = true;
  fixture.onStep = [&fixture] { ReceiveReachUpdate(fixture, "vm-2", 0); };
  fixture.Run(3000ms);
  for (int step = 0; step < 300; ++step) {
    fixture.Run(kStep);
    CHECK(fixture.now < fixture.monitor.Confirmation().askedAt + 1000ms);
  }
  CHECK(fixture.promoted.empty());
}

namespace {

struct majority_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// Whether the majority of the old term counts as a confirmation.
  bool confirms;
};

// The servers are in the state after a promotion of c, which this VM cannot
// reach: a does not know of it, and the platform has lifted the fence of b.
const majority_row kMajorityRows[] = {
  { "the store shows that the term was not replaced",
    [](monitor_fixture&) {},
    true },
  { "the store shows that the term was replaced",
    [](monitor_fixture& aFixture) { aFixture.replaced = 1; },
    false },
  { "the store does not answer",
    [](monitor_fixture& aFixture) { aFixture.replaced.reset(); },
    false },
  { "the store does not answer, but all members report the same",
    [](monitor_fixture& aFixture) {
      aFixture.replaced.reset();
      aFixture.servers["c"].answers = true;
    },
    true },
  { "all answer, and one is primary of a newer term",
    [](monitor_fixture& aFixture) {
      aFixture.replaced.reset();
      auto& promoted = aFixture.servers["c"];
      promoted.answers = true;
      promoted.primary = true;
      promoted.term = 2;
    },
    false },
  { "all answer, and a former primary has a newer term",
    [](monitor_fixture& aFixture) {
      aFixture.replaced.reset();
      auto& promoted = aFixture.servers["c"];
      promoted.answers = true;
      promoted.term = 2;
    },
    false },
  { "a VM that knows of the replacement sends no query",
    [](monitor_fixture& aFixture) {
      aFixture.monitor.SetReplacedTerm(1, aFixture.now);
    },
    false },
};

} // namespace

TEST(group_monitor,
     a_majority_after_a_pause_counts_only_if_its_term_was_not_replaced)
{
  for (const auto& row : kMajorityRows) {
    monitor_fixture fixture;
    fixture.servers["c"].answers = false;
    row.given(fixture);
    fixture.monitor.ConfirmationNeeded(fixture.now);
    fixture.Run(900ms);
    const auto& confirmation = fixture.monitor.Confirmation();
    CHECK_TEXT((confirmation.term == 1) == row.confirms, row.name);
  }
}

TEST(group_monitor, a_confirmation_that_is_renewed_in_time_needs_no_store_read)
{
  monitor_fixture fixture;
  fixture.monitor.ConfirmationNeeded(fixture.now);
  fixture.Run(100ms);
  fixture.servers["c"].answers = false;
  fixture.replaced.reset();
  for (int step = 0; step < 300; ++step) {
    fixture.monitor.ConfirmationNeeded(fixture.now);
    fixture.Run(kStep);
    CHECK(fixture.now < fixture.monitor.Confirmation().askedAt + 1000ms);
  }
  CHECK_EQUAL(0, fixture.storeReads);
}

TEST(group_monitor, an_old_primary_that_is_back_during_the_promotion_steps_down)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.acceptsRequests = false;
  fixture.Run(2500ms);
  CHECK(fixture.monitor.IsTakeoverActive());
  CHECK(fixture.requestedReplacedTerm == 1);
  fixture.servers["a"].answers = true;
  fixture.Run(200ms);
  CHECK(!fixture.servers["a"].primary);
}

TEST(group_monitor, a_silent_primary_is_lost_within_its_bound)
{
  monitor_fixture fixture;
  fixture.queryTimeout = lead::monitor_settings{}.askTimeout;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  // Regular traffic had its last answer a little after the last report.
  fixture.heardAt = fixture.now;
  const auto from = fixture.now;
  while (!fixture.monitor.IsTakeoverActive() && fixture.now < from + 3s) {
    fixture.Run(kStep);
  }
  CHECK(fixture.now - from >= 600ms);
  CHECK(fixture.now - from <= 800ms);
}

TEST(group_monitor,
     a_group_whose_replacement_was_recorded_but_not_carried_out_gets_a_primary)
{
  monitor_fixture fixture;
  fixture.monitor.SetReplacedTerm(1, fixture.now);
  fixture.replaced = 1;
  fixture.monitor.SetFailoverLock(true, 8, fixture.now);
  fixture.onStep = [&fixture] { ReceiveReachUpdate(fixture, "vm-2", 0); };
  fixture.Run(5000ms);
  CHECK(fixture.monitor.Confirmation().term == 2);
}

namespace {

struct abandoned_row
{
  const char* name;
  position::term_id replaced;
  /// The term that is confirmed in the end, and its primary.
  position::term_id term;
  const char* primary;
};

// A lock holder fenced the replicas and froze; the primary is healthy.
constexpr abandoned_row kAbandonedRows[] = {
  { "the replacement was not recorded: the primary stays", 0, 1, "a" },
  { "it was recorded, so a promotion may be in flight", 1, 2, "a" },
};

} // namespace

TEST(group_monitor, a_group_left_fenced_by_a_former_lock_holder_recovers)
{
  for (const auto& row : kAbandonedRows) {
    monitor_fixture fixture;
    fixture.servers["b"].fencedAt = 2;
    fixture.servers["c"].fencedAt = 2;
    fixture.liftsFences = true;
    fixture.replaced = row.replaced;
    fixture.monitor.SetReplacedTerm(row.replaced, fixture.now);
    fixture.monitor.SetFailoverLock(true, 8, fixture.now);
    fixture.Run(6000ms);
    CHECK_TEXT(fixture.monitor.Confirmation().term == row.term, row.name);
    CHECK_TEXT(fixture.monitor.Confirmation().primary == row.primary, row.name);
    CHECK_TEXT(fixture.now < fixture.monitor.Confirmation().askedAt + 1000ms,
               row.name);
  }
}

TEST(group_monitor, an_abandoned_takeover_invalidates_earlier_confirmations)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.acceptsRequests = false;
  fixture.Run(1500ms);
  CHECK(fixture.monitor.IsTakeoverActive());
  fixture.servers["a"].answers = true;
  fixture.servers["b"].fencedAt = 0;
  fixture.servers["c"].fencedAt = 0;
  const auto confirmations = fixture.confirmations.size();
  fixture.replaced = 1;
  fixture.monitor.SetFailoverLock(false, 7, fixture.now);
  fixture.monitor.ConfirmationNeeded(fixture.now);
  fixture.servers["c"].answers = false;
  fixture.Run(500ms);
  CHECK_EQUAL(confirmations, fixture.confirmations.size());
}

TEST(group_monitor, a_busy_witness_does_not_interrupt_confirmation)
{
  for (const char* busy : { "b", "c" }) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(2000ms);
    fixture.servers[busy].busy = true;
    for (int step = 0; step < 500; ++step) {
      fixture.Run(kStep);
      CHECK_TEXT(fixture.now < fixture.monitor.Confirmation().askedAt + 1000ms,
                 busy);
    }
  }
}

TEST(group_monitor, a_second_takeover_chooses_its_own_candidate)
{
  monitor_fixture fixture;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.Run(3000ms);
  CHECK(fixture.promoted.back() == "b");
  fixture.servers["a"].answers = true;
  fixture.Run(3000ms);
  fixture.monitor.Configure({ { "a" }, { "b", false, true }, { "c" } },
                            fixture.now);
  fixture.Run(1000ms);
  CHECK(fixture.promoted.back() != "b");
}

TEST(group_monitor, without_the_lock_it_queries_only_on_demand)
{
  monitor_fixture fixture;
  fixture.Run(3000ms);
  CHECK_EQUAL(0, fixture.Count(command_kind::kReport));
  fixture.monitor.ConfirmationNeeded(fixture.now);
  fixture.Run(100ms);
  CHECK(fixture.monitor.Confirmation().term == 1);
  // The VM that promotes would not know of a VM that queries while it may not
  // confirm.
  monitor_fixture unregistered;
  unregistered.monitor.SetMayConfirm(false);
  unregistered.monitor.ConfirmationNeeded(unregistered.now);
  unregistered.Run(500ms);
  CHECK_EQUAL(0, unregistered.Count(command_kind::kReport));
}

TEST(group_monitor, an_interim_monitor_confirms_but_starts_no_takeover)
{
  monitor_fixture fixture;
  fixture.monitor.SetIsInterim(true);
  fixture.monitor.SetFailoverLock(false, 9, fixture.now);
  fixture.Run(1500ms);
  CHECK(fixture.now < fixture.monitor.Confirmation().askedAt + 500ms);
  CHECK(fixture.monitor.AnnouncesStatus());
  // An interim monitor's update must not lift a revocation of the last lock
  // holder.
  CHECK(fixture.monitor.WatchUpdate().epoch == 0);
  fixture.servers["a"].answers = false;
  fixture.Run(4000ms);
  CHECK(fixture.promoted.empty());
  CHECK_EQUAL(0, fixture.Count(command_kind::kFence));
}

TEST(group_monitor, a_revocation_holds_until_lifted_or_expired)
{
  monitor_fixture fixture;
  const lead::watch_update revokes{ {}, std::nullopt, 1, 9 };
  fixture.monitor.WatchUpdateReceived(revokes, fixture.now);
  CHECK(fixture.monitor.ReachUpdate(std::nullopt).acknowledgedTerm == 1);
  fixture.monitor.ConfirmationNeeded(fixture.now);
  fixture.Run(900ms);
  CHECK(fixture.confirmations.empty());
  // An update with an older epoch is ignored.
  fixture.monitor.WatchUpdateReceived({ {}, std::nullopt, 0, 8 }, fixture.now);
  CHECK(fixture.monitor.ReachUpdate(std::nullopt).acknowledgedTerm == 1);
  fixture.monitor.WatchUpdateReceived({ {}, std::nullopt, 0, 9 }, fixture.now);
  CHECK(fixture.monitor.ReachUpdate(std::nullopt).acknowledgedTerm == 0);
  fixture.monitor.WatchUpdateReceived(revokes, fixture.now);
  fixture.Run(5200ms);
  CHECK(fixture.monitor.ReachUpdate(std::nullopt).acknowledgedTerm == 0);
}

TEST(group_monitor,
     the_first_confirmation_of_a_term_carries_the_primarys_position)
{
  monitor_fixture fixture;
  fixture.monitor.ConfirmationNeeded(fixture.now);
  fixture.Run(50ms);
  CHECK(fixture.monitor.Confirmation().term == 1);
  CHECK_EQUAL(1U, fixture.samples.size());
  CHECK(fixture.samples.front().term == 1);
  CHECK(fixture.samples.front().position == fixture.servers["a"].received);
}

TEST(group_monitor, a_VM_that_is_not_registered_accepts_no_confirmation)
{
  monitor_fixture fixture;
  fixture.monitor.SetMayConfirm(false);
  fixture.monitor.WatchUpdateReceived(
    { { 1, "a", fixture.now }, std::nullopt, 0, 9 }, fixture.now);
  fixture.Run(50ms);
  CHECK(fixture.confirmations.empty());
  fixture.monitor.SetMayConfirm(true);
  fixture.monitor.WatchUpdateReceived(
    { { 1, "a", fixture.now }, std::nullopt, 0, 9 }, fixture.now);
  fixture.Run(50ms);
  CHECK_EQUAL(1U, fixture.confirmations.size());
}

namespace {

/// Number of queries of VMs that share one group and receive no updates from a
/// lock holder, where each forwards its results to all others.
struct stagger_row
{
  const char* name;
  std::size_t vms;
  bool forwards;
  /// Bounds on the queries per VM and second.
  double atLeast;
  double atMost;
};

const stagger_row kStaggerRows[] = {
  { "one VM", 1, true, 2.0, 8.0 },
  { "six VMs that forward results", 6, true, 0.3, 2.5 },
  { "forty VMs that forward results", 40, true, 0.05, 0.8 },
  { "forty VMs that do not forward results", 40, false, 2.0, 20.0 },
};

} // namespace

TEST(group_monitor,
     VMs_without_a_lock_holder_stagger_queries_and_forward_results)
{
  constexpr int kSeconds = 5;
  for (const auto& row : kStaggerRows) {
    std::vector<std::unique_ptr<monitor_fixture>> all;
    for (std::size_t i = 0; i < row.vms; ++i) {
      all.push_back(std::make_unique<monitor_fixture>());
      const auto place = static_cast<double>(i) / static_cast<double>(row.vms);
      all.back()->monitor.SetQueryStagger(row.vms, place);
    }
    int gaps = 0;
    for (int step = 0; step < kSeconds * 100; ++step) {
      for (auto& one : all) {
        one->monitor.ConfirmationNeeded(one->now);
        const auto before = one->forwarded;
        one->Run(kStep);
        const bool forwardsNow = row.forwards && one->forwarded > before;
        for (auto& other : all) {
          if (forwardsNow && other != one) {
            other->monitor.WatchUpdateReceived(one->monitor.WatchUpdate(),
                                               other->now);
          }
        }
      }
      for (const auto& one : all) {
        const bool confirmed =
          one->now < one->monitor.Confirmation().askedAt + 1000ms;
        gaps += step > 100 && !confirmed ? 1 : 0;
      }
    }
    int queries = 0;
    for (const auto& one : all) {
      queries += one->Count(command_kind::kReport);
    }
    const auto each =
      static_cast<double>(queries) / static_cast<double>(row.vms) / kSeconds;
    CHECK_EQUAL_TEXT(0, gaps, row.name);
    CHECK_TEXT(each >= row.atLeast && each <= row.atMost,
               (std::string(row.name) + ": " + std::to_string(each)).c_str());
  }
}
