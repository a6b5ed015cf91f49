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
using test::ReachOf;

namespace {

struct watch_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// The server promoted in the end, or empty.
  std::string promoted;
  /// Bounds on the time until then.
  std::chrono::milliseconds atLeast;
  std::chrono::milliseconds atMost;
};

const watch_row kWatchRows[] = {
  { "a healthy primary stays", [](monitor_fixture&) {}, "", 0ms, 0ms },
  { "a silent one is replaced by the longest log",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["c"].received = { 1, 11 };
    },
    "c",
    600ms,
    1600ms },
  { "a silent one that another VM reaches stays",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.everyStep = [&aBench] { ReachOf(aBench, "vm-2", 0); };
    },
    "",
    0ms,
    0ms },
  { "with a VM that does not obey, its proofs run out first",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
    },
    "b",
    1600ms,
    2600ms },
  { "with the list of VMs unknown as well",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms.reset();
    },
    "b",
    1600ms,
    2600ms },
  { "with a VM that obeys at once, nothing is waited for",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
      aBench.everyStep = [&aBench] {
        const bool told =
          !aBench.revocations.empty() && aBench.revocations.back() == 1;
        aBench.lead.ReachUpdateReceived(
          "vm-2", { 1, "", {}, told ? 1U : 0U, aBench.now }, aBench.now);
      };
    },
    "b",
    600ms,
    1600ms },
  { "one of three alone changes nothing while a VM may hold a proof",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["b"].answers = false;
      aBench.vms = { { "vm-2" } };
    },
    "",
    0ms,
    0ms },
  { "a draining primary hands over to a server that has all it had",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].received = { 1, 20 };
      aBench.servers["c"].received = { 1, 20 };
      aBench.lead.Configure({ { "a", false, true }, { "b" }, { "c" } },
                            aBench.now);
    },
    "c",
    0ms,
    1000ms },
  { "a server that the platform rejects is passed over",
    [](monitor_fixture& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["b"].received = { 1, 11 };
      aBench.rejectsFirst = true;
    },
    "c",
    600ms,
    1900ms },
  { "a group without any primary gets one",
    [](monitor_fixture& aBench) { aBench.servers["a"].primary = false; },
    "a",
    1200ms,
    4500ms },
};

} // namespace

TEST_GROUP(group_monitor){};

TEST(group_monitor, monitors_and_replaces_the_primary)
{
  for (const auto& row : kWatchRows) {
    monitor_fixture made;
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(2000ms);
    CHECK_TEXT(made.promoted.empty(), row.name);
    CHECK_TEXT(!made.proofs.empty(), row.name);
    row.given(made);
    const auto from = made.now;
    clock::time_point at{};
    while (made.now < from + 6s) {
      made.Run(kStep);
      if (at == clock::time_point{} && made.lead.Confirmation().term == 2) {
        at = made.now;
      }
    }
    if (row.promoted.empty()) {
      CHECK_TEXT(made.promoted.empty(), row.name);
      continue;
    }
    CHECK_TEXT(at != clock::time_point{}, row.name);
    CHECK_TEXT(made.promoted.back() == row.promoted, row.name);
    CHECK_TEXT(at - from >= row.atLeast, row.name);
    CHECK_TEXT(at - from <= row.atMost, row.name);
    CHECK_TEXT(made.lead.Confirmation().primary == row.promoted, row.name);
    CHECK_TEXT(made.revocations.back() == 0, row.name);
  }
}

TEST(group_monitor, an_old_primary_that_comes_back_steps_down)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.Run(3000ms);
  CHECK(made.lead.Confirmation().term == 2);
  made.servers["a"].answers = true;
  made.Run(3000ms);
  CHECK(!made.servers["a"].primary);
  CHECK(made.lead.Confirmation().primary == "b");
  // Fences of the change are lifted.
  CHECK_EQUAL(0, static_cast<int>(made.servers["c"].fencedAt));
}

TEST(group_monitor,
     a_primary_that_only_other_VMs_reach_is_confirmed_through_them)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.servers["a"].answersOthers = true;
  made.everyStep = [&made] { ReachOf(made, "vm-2", 0); };
  made.Run(3000ms);
  for (int step = 0; step < 300; ++step) {
    made.Run(kStep);
    CHECK(made.now < made.lead.Confirmation().askedAt + 1000ms);
  }
  CHECK(made.promoted.empty());
}

namespace {

struct majority_row
{
  const char* name;
  std::function<void(monitor_fixture&)> given;
  /// Whether the majority of the old term counts as proof.
  bool proves;
};

// The bench's servers stand as after a promotion of c, which this VM does not
// reach: a does not know of it, and b's fence was lifted by the platform.
const majority_row kMajorityRows[] = {
  { "a majority that was not replaced, as the store shows",
    [](monitor_fixture&) {},
    true },
  { "the store shows that its term was replaced",
    [](monitor_fixture& aBench) { aBench.replaced = 1; },
    false },
  { "the store does not answer",
    [](monitor_fixture& aBench) { aBench.replaced.reset(); },
    false },
  { "the store does not answer, but all members say the same",
    [](monitor_fixture& aBench) {
      aBench.replaced.reset();
      aBench.servers["c"].answers = true;
    },
    true },
  { "all answer, and one leads a newer term",
    [](monitor_fixture& aBench) {
      aBench.replaced.reset();
      auto& promoted = aBench.servers["c"];
      promoted.answers = true;
      promoted.primary = true;
      promoted.term = 2;
    },
    false },
  { "all answer, and one that no longer leads has seen a newer term",
    [](monitor_fixture& aBench) {
      aBench.replaced.reset();
      auto& promoted = aBench.servers["c"];
      promoted.answers = true;
      promoted.term = 2;
    },
    false },
  { "a VM that knows of the replacement asks nobody",
    [](monitor_fixture& aBench) { aBench.lead.SetReplacedTerm(1, aBench.now); },
    false },
};

} // namespace

TEST(group_monitor,
     a_majority_after_a_pause_counts_only_if_its_term_was_not_replaced)
{
  for (const auto& row : kMajorityRows) {
    monitor_fixture made;
    made.servers["c"].answers = false;
    row.given(made);
    made.lead.ConfirmationNeeded(made.now);
    made.Run(900ms);
    const auto& confirmation = made.lead.Confirmation();
    CHECK_TEXT((confirmation.term == 1) == row.proves, row.name);
  }
}

TEST(group_monitor, a_confirmation_that_is_renewed_in_time_needs_no_store_read)
{
  monitor_fixture made;
  made.lead.ConfirmationNeeded(made.now);
  made.Run(100ms);
  made.servers["c"].answers = false;
  made.replaced.reset();
  for (int step = 0; step < 300; ++step) {
    made.lead.ConfirmationNeeded(made.now);
    made.Run(kStep);
    CHECK(made.now < made.lead.Confirmation().askedAt + 1000ms);
  }
  CHECK_EQUAL(0, made.checks);
}

TEST(group_monitor, an_old_primary_that_is_back_during_the_promotion_steps_down)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.takesOrders = false;
  made.Run(2500ms);
  CHECK(made.lead.IsTakeoverActive());
  CHECK(made.replacedInOrder == 1);
  made.servers["a"].answers = true;
  made.Run(200ms);
  CHECK(!made.servers["a"].primary);
}

TEST(group_monitor, a_silent_primary_is_lost_within_its_bound)
{
  monitor_fixture made;
  made.failsAfter = lead::monitor_settings{}.askTimeout;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  // Traffic had its last answer a little after the last report.
  made.heardAt = made.now;
  const auto from = made.now;
  while (!made.lead.IsTakeoverActive() && made.now < from + 3s) {
    made.Run(kStep);
  }
  CHECK(made.now - from >= 600ms);
  CHECK(made.now - from <= 800ms);
}

TEST(group_monitor,
     a_group_whose_replacement_was_recorded_but_not_carried_out_gets_a_primary)
{
  monitor_fixture made;
  made.lead.SetReplacedTerm(1, made.now);
  made.replaced = 1;
  made.lead.SetFailoverLock(true, 8, made.now);
  made.everyStep = [&made] { ReachOf(made, "vm-2", 0); };
  made.Run(5000ms);
  CHECK(made.lead.Confirmation().term == 2);
}

namespace {

struct stranded_row
{
  const char* name;
  position::term_id replaced;
  /// The term that is proved in the end, and its primary.
  position::term_id term;
  const char* primary;
};

// A holder of the duty fenced the replicas and froze; the primary is well.
constexpr stranded_row kStrandedRows[] = {
  { "the replacement was not recorded: the primary stays", 0, 1, "a" },
  { "it was recorded, so it may have been ordered", 1, 2, "a" },
};

} // namespace

TEST(group_monitor, a_group_left_fenced_by_a_former_lock_holder_recovers)
{
  for (const auto& row : kStrandedRows) {
    monitor_fixture made;
    made.servers["b"].fencedAt = 2;
    made.servers["c"].fencedAt = 2;
    made.liftsFences = true;
    made.replaced = row.replaced;
    made.lead.SetReplacedTerm(row.replaced, made.now);
    made.lead.SetFailoverLock(true, 8, made.now);
    made.Run(6000ms);
    CHECK_TEXT(made.lead.Confirmation().term == row.term, row.name);
    CHECK_TEXT(made.lead.Confirmation().primary == row.primary, row.name);
    CHECK_TEXT(made.now < made.lead.Confirmation().askedAt + 1000ms, row.name);
  }
}

TEST(group_monitor, an_abandoned_takeover_invalidates_earlier_confirmations)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.takesOrders = false;
  made.Run(1500ms);
  CHECK(made.lead.IsTakeoverActive());
  made.servers["a"].answers = true;
  made.servers["b"].fencedAt = 0;
  made.servers["c"].fencedAt = 0;
  const auto proofs = made.proofs.size();
  made.replaced = 1;
  made.lead.SetFailoverLock(false, 7, made.now);
  made.lead.ConfirmationNeeded(made.now);
  made.servers["c"].answers = false;
  made.Run(500ms);
  CHECK_EQUAL(proofs, made.proofs.size());
}

TEST(group_monitor, a_busy_witness_does_not_interrupt_confirmation)
{
  for (const char* busy : { "b", "c" }) {
    monitor_fixture made;
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(2000ms);
    made.servers[busy].busy = true;
    for (int step = 0; step < 500; ++step) {
      made.Run(kStep);
      CHECK_TEXT(made.now < made.lead.Confirmation().askedAt + 1000ms, busy);
    }
  }
}

TEST(group_monitor, a_second_takeover_chooses_its_own_candidate)
{
  monitor_fixture made;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.Run(3000ms);
  CHECK(made.promoted.back() == "b");
  made.servers["a"].answers = true;
  made.Run(3000ms);
  made.lead.Configure({ { "a" }, { "b", false, true }, { "c" } }, made.now);
  made.Run(1000ms);
  CHECK(made.promoted.back() != "b");
}

TEST(group_monitor, without_the_lock_it_queries_only_on_demand)
{
  monitor_fixture made;
  made.Run(3000ms);
  CHECK_EQUAL(0, made.Count(command_kind::kReport));
  made.lead.ConfirmationNeeded(made.now);
  made.Run(100ms);
  CHECK(made.lead.Confirmation().term == 1);
  // Those who ask without the right to do so would be unknown to a promoter.
  monitor_fixture barred;
  barred.lead.SetMayConfirm(false);
  barred.lead.ConfirmationNeeded(barred.now);
  barred.Run(500ms);
  CHECK_EQUAL(0, barred.Count(command_kind::kReport));
}

TEST(group_monitor, an_interim_monitor_confirms_but_starts_no_takeover)
{
  monitor_fixture made;
  made.lead.SetIsInterim(true);
  made.lead.SetFailoverLock(false, 9, made.now);
  made.Run(1500ms);
  CHECK(made.now < made.lead.Confirmation().askedAt + 500ms);
  CHECK(made.lead.AnnouncesStatus());
  // Its word must not lift what the last holder revoked.
  CHECK(made.lead.WatchUpdate().epoch == 0);
  made.servers["a"].answers = false;
  made.Run(4000ms);
  CHECK(made.promoted.empty());
  CHECK_EQUAL(0, made.Count(command_kind::kFence));
}

TEST(group_monitor, a_revocation_holds_until_lifted_or_expired)
{
  monitor_fixture made;
  const lead::watch_update revokes{ {}, std::nullopt, 1, 9 };
  made.lead.WatchUpdateReceived(revokes, made.now);
  CHECK(made.lead.ReachUpdate(std::nullopt).acknowledgedTerm == 1);
  made.lead.ConfirmationNeeded(made.now);
  made.Run(900ms);
  CHECK(made.proofs.empty());
  // An older holder of the duty has no say.
  made.lead.WatchUpdateReceived({ {}, std::nullopt, 0, 8 }, made.now);
  CHECK(made.lead.ReachUpdate(std::nullopt).acknowledgedTerm == 1);
  made.lead.WatchUpdateReceived({ {}, std::nullopt, 0, 9 }, made.now);
  CHECK(made.lead.ReachUpdate(std::nullopt).acknowledgedTerm == 0);
  made.lead.WatchUpdateReceived(revokes, made.now);
  made.Run(5200ms);
  CHECK(made.lead.ReachUpdate(std::nullopt).acknowledgedTerm == 0);
}

TEST(group_monitor,
     the_first_confirmation_of_a_term_carries_the_primarys_position)
{
  monitor_fixture made;
  made.lead.ConfirmationNeeded(made.now);
  made.Run(50ms);
  CHECK(made.lead.Confirmation().term == 1);
  CHECK_EQUAL(1U, made.samples.size());
  CHECK(made.samples.front().term == 1);
  CHECK(made.samples.front().position == made.servers["a"].received);
}

TEST(group_monitor, a_VM_that_is_not_registered_accepts_no_confirmation)
{
  monitor_fixture made;
  made.lead.SetMayConfirm(false);
  made.lead.WatchUpdateReceived({ { 1, "a", made.now }, std::nullopt, 0, 9 },
                                made.now);
  made.Run(50ms);
  CHECK(made.proofs.empty());
  made.lead.SetMayConfirm(true);
  made.lead.WatchUpdateReceived({ { 1, "a", made.now }, std::nullopt, 0, 9 },
                                made.now);
  made.Run(50ms);
  CHECK_EQUAL(1U, made.proofs.size());
}

namespace {

/// VMs that share one group and hear nothing of a holder: questions that they
/// put in the time, when each passes on to all what it has learned.
struct island_row
{
  const char* name;
  std::size_t vms;
  bool passOn;
  /// Bounds on the questions a VM and second.
  double atLeast;
  double atMost;
};

const island_row kIslands[] = {
  { "one VM asks for itself", 1, true, 2.0, 8.0 },
  { "six VMs that tell each other", 6, true, 0.3, 2.5 },
  { "forty VMs that tell each other", 40, true, 0.05, 0.8 },
  { "forty VMs that do not", 40, false, 2.0, 20.0 },
};

} // namespace

TEST(group_monitor,
     VMs_without_a_lock_holder_stagger_queries_and_forward_results)
{
  constexpr int kSeconds = 5;
  for (const auto& row : kIslands) {
    std::vector<std::unique_ptr<monitor_fixture>> all;
    for (std::size_t i = 0; i < row.vms; ++i) {
      all.push_back(std::make_unique<monitor_fixture>());
      const auto place = static_cast<double>(i) / static_cast<double>(row.vms);
      all.back()->lead.SetQueryStagger(row.vms, place);
    }
    int gaps = 0;
    for (int step = 0; step < kSeconds * 100; ++step) {
      for (auto& one : all) {
        one->lead.ConfirmationNeeded(one->now);
        const auto before = one->passedOn;
        one->Run(kStep);
        const bool tells = row.passOn && one->passedOn > before;
        for (auto& other : all) {
          if (tells && other != one) {
            other->lead.WatchUpdateReceived(one->lead.WatchUpdate(),
                                            other->now);
          }
        }
      }
      for (const auto& one : all) {
        const bool proved =
          one->now < one->lead.Confirmation().askedAt + 1000ms;
        gaps += step > 100 && !proved ? 1 : 0;
      }
    }
    int asked = 0;
    for (const auto& one : all) {
      asked += one->Count(command_kind::kReport);
    }
    const auto each =
      static_cast<double>(asked) / static_cast<double>(row.vms) / kSeconds;
    CHECK_EQUAL_TEXT(0, gaps, row.name);
    CHECK_TEXT(each >= row.atLeast && each <= row.atMost,
               (std::string(row.name) + ": " + std::to_string(each)).c_str());
  }
}
