#include "currantshed/lead/group_lead.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "test/currantshed/lead/bench.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using lead::group_lead;
using proxy::command_kind;
using test::bench;
using test::kStart;
using test::kStep;
using test::ReachOf;

namespace {

struct watch_row
{
  const char* name;
  std::function<void(bench&)> given;
  /// The server that is promoted in the end, or empty.
  std::string promoted;
  /// Bounds on the time until then.
  std::chrono::milliseconds atLeast;
  std::chrono::milliseconds atMost;
};

const watch_row kWatchRows[] = {
  { "a healthy primary stays", [](bench&) {}, "", 0ms, 0ms },
  { "an unresponsive primary is replaced by the server with the longest log",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["c"].received = { 1, 11 };
    },
    "c",
    600ms,
    1600ms },
  { "an unresponsive primary that another VM reaches stays",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.everyStep = [&aBench] { ReachOf(aBench, "vm-2", 0); };
    },
    "",
    0ms,
    0ms },
  { "a VM that does not acknowledge delays the promotion until expiry",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
    },
    "b",
    1600ms,
    2600ms },
  { "an unknown list of VMs delays the promotion until expiry",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms.reset();
    },
    "b",
    1600ms,
    2600ms },
  { "a VM that acknowledges at once causes no delay",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.vms = { { "vm-2" } };
      aBench.everyStep = [&aBench] {
        const bool told =
          !aBench.revocations.empty() && aBench.revocations.back() == 1;
        aBench.lead.HeardReach(
          "vm-2", { 1, "", {}, told ? 1U : 0U, aBench.now }, aBench.now);
      };
    },
    "b",
    600ms,
    1600ms },
  { "one of three servers is no majority for a takeover",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["b"].answers = false;
      aBench.vms = { { "vm-2" } };
    },
    "",
    0ms,
    0ms },
  { "a draining primary is replaced by a server with its whole log",
    [](bench& aBench) {
      aBench.servers["a"].received = { 1, 20 };
      aBench.servers["c"].received = { 1, 20 };
      aBench.lead.Configure({ { "a", false, true }, { "b" }, { "c" } },
                            aBench.now);
    },
    "c",
    0ms,
    1000ms },
  { "a server that the platform rejects is skipped",
    [](bench& aBench) {
      aBench.servers["a"].answers = false;
      aBench.servers["b"].received = { 1, 11 };
      aBench.rejectsFirst = true;
    },
    "c",
    600ms,
    1900ms },
  { "a group without a primary gets one",
    [](bench& aBench) { aBench.servers["a"].primary = false; },
    "a",
    1200ms,
    4500ms },
};

} // namespace

TEST_GROUP(group_lead){};

TEST(group_lead, watches_and_replaces)
{
  for (const auto& row : kWatchRows) {
    bench made;
    made.lead.SetDuty(true, 7, made.now);
    made.Run(2000ms);
    CHECK_TEXT(made.promoted.empty(), row.name);
    CHECK_TEXT(!made.proofs.empty(), row.name);
    row.given(made);
    const auto from = made.now;
    clock::time_point at{};
    while (made.now < from + 6s) {
      made.Run(kStep);
      if (at == clock::time_point{} && made.lead.Proof().term == 2) {
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
    CHECK_TEXT(made.lead.Proof().primary == row.promoted, row.name);
    CHECK_TEXT(made.revocations.back() == 0, row.name);
  }
}

TEST(group_lead, an_old_primary_that_comes_back_steps_down)
{
  bench made;
  made.lead.SetDuty(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.Run(3000ms);
  CHECK(made.lead.Proof().term == 2);
  made.servers["a"].answers = true;
  made.Run(3000ms);
  CHECK(!made.servers["a"].primary);
  CHECK(made.lead.Proof().primary == "b");
  // The fences of the takeover are lifted.
  CHECK_EQUAL(0, static_cast<int>(made.servers["c"].fencedAt));
}

TEST(group_lead, a_primary_that_only_others_reach_is_proved_through_them)
{
  bench made;
  made.lead.SetDuty(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.servers["a"].answersOthers = true;
  made.everyStep = [&made] { ReachOf(made, "vm-2", 0); };
  made.Run(3000ms);
  for (int step = 0; step < 300; ++step) {
    made.Run(kStep);
    CHECK(made.now < made.lead.Proof().askedAt + 1000ms);
  }
  CHECK(made.promoted.empty());
}

namespace {

struct majority_row
{
  const char* name;
  std::function<void(bench&)> given;
  /// Whether the majority of the old term counts as a confirmation.
  bool proves;
};

// The servers are in the state after a promotion of c, which this VM cannot
// reach: a does not know of it, and the platform has lifted the fence of b.
const majority_row kMajorityRows[] = {
  { "the store shows that the term was not replaced", [](bench&) {}, true },
  { "the store shows that the term was replaced",
    [](bench& aBench) { aBench.replaced = 1; },
    false },
  { "the store does not answer",
    [](bench& aBench) { aBench.replaced.reset(); },
    false },
  { "the store does not answer, but all members report the same",
    [](bench& aBench) {
      aBench.replaced.reset();
      aBench.servers["c"].answers = true;
    },
    true },
  { "all answer, and one is primary of a newer term",
    [](bench& aBench) {
      aBench.replaced.reset();
      auto& promoted = aBench.servers["c"];
      promoted.answers = true;
      promoted.primary = true;
      promoted.term = 2;
    },
    false },
  { "all answer, and a former primary has a newer term",
    [](bench& aBench) {
      aBench.replaced.reset();
      auto& promoted = aBench.servers["c"];
      promoted.answers = true;
      promoted.term = 2;
    },
    false },
  { "a VM that knows of the replacement sends no query",
    [](bench& aBench) { aBench.lead.SetReplaced(1, aBench.now); },
    false },
};

} // namespace

TEST(group_lead, a_majority_after_a_pause_counts_only_if_its_term_stands)
{
  for (const auto& row : kMajorityRows) {
    bench made;
    made.servers["c"].answers = false;
    row.given(made);
    made.lead.Wanted(made.now);
    made.Run(900ms);
    const auto& proof = made.lead.Proof();
    CHECK_TEXT((proof.term == 1) == row.proves, row.name);
  }
}

TEST(group_lead, a_proof_that_goes_on_needs_no_check)
{
  bench made;
  made.lead.Wanted(made.now);
  made.Run(100ms);
  made.servers["c"].answers = false;
  made.replaced.reset();
  for (int step = 0; step < 300; ++step) {
    made.lead.Wanted(made.now);
    made.Run(kStep);
    CHECK(made.now < made.lead.Proof().askedAt + 1000ms);
  }
  CHECK_EQUAL(0, made.checks);
}

TEST(group_lead, an_old_primary_that_is_back_during_the_promotion_steps_down)
{
  bench made;
  made.lead.SetDuty(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.takesOrders = false;
  made.Run(2500ms);
  CHECK(made.lead.IsChanging());
  CHECK(made.replacedInOrder == 1);
  made.servers["a"].answers = true;
  made.Run(200ms);
  CHECK(!made.servers["a"].primary);
}

TEST(group_lead, a_silent_primary_is_lost_within_its_bound)
{
  bench made;
  made.failsAfter = lead::lead_settings{}.askTimeout;
  made.lead.SetDuty(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  // Regular traffic had its last answer a little after the last report.
  made.heardAt = made.now;
  const auto from = made.now;
  while (!made.lead.IsChanging() && made.now < from + 3s) {
    made.Run(kStep);
  }
  CHECK(made.now - from >= 600ms);
  CHECK(made.now - from <= 800ms);
}

TEST(group_lead, a_group_whose_replacement_was_recorded_but_not_made_is_served)
{
  bench made;
  made.lead.SetReplaced(1, made.now);
  made.replaced = 1;
  made.lead.SetDuty(true, 8, made.now);
  made.everyStep = [&made] { ReachOf(made, "vm-2", 0); };
  made.Run(5000ms);
  CHECK(made.lead.Proof().term == 2);
}

namespace {

struct stranded_row
{
  const char* name;
  position::term_id replaced;
  /// The term that is confirmed in the end, and its primary.
  position::term_id term;
  const char* primary;
};

// A lock holder fenced the replicas and froze; the primary is healthy.
constexpr stranded_row kStrandedRows[] = {
  { "the replacement was not recorded: the primary stays", 0, 1, "a" },
  { "it was recorded, so a promotion may be in flight", 1, 2, "a" },
};

} // namespace

TEST(group_lead, a_group_that_another_holder_left_fenced_is_served_again)
{
  for (const auto& row : kStrandedRows) {
    bench made;
    made.servers["b"].fencedAt = 2;
    made.servers["c"].fencedAt = 2;
    made.liftsFences = true;
    made.replaced = row.replaced;
    made.lead.SetReplaced(row.replaced, made.now);
    made.lead.SetDuty(true, 8, made.now);
    made.Run(6000ms);
    CHECK_TEXT(made.lead.Proof().term == row.term, row.name);
    CHECK_TEXT(made.lead.Proof().primary == row.primary, row.name);
    CHECK_TEXT(made.now < made.lead.Proof().askedAt + 1000ms, row.name);
  }
}

TEST(group_lead, what_was_proved_before_a_change_given_up_is_proved_anew)
{
  bench made;
  made.lead.SetDuty(true, 7, made.now);
  made.Run(2000ms);
  made.servers["a"].answers = false;
  made.takesOrders = false;
  made.Run(1500ms);
  CHECK(made.lead.IsChanging());
  made.servers["a"].answers = true;
  made.servers["b"].fencedAt = 0;
  made.servers["c"].fencedAt = 0;
  const auto proofs = made.proofs.size();
  made.replaced = 1;
  made.lead.SetDuty(false, 7, made.now);
  made.lead.Wanted(made.now);
  made.servers["c"].answers = false;
  made.Run(500ms);
  CHECK_EQUAL(proofs, made.proofs.size());
}

TEST(group_lead, a_busy_witness_does_not_end_proofs)
{
  for (const char* busy : { "b", "c" }) {
    bench made;
    made.lead.SetDuty(true, 7, made.now);
    made.Run(2000ms);
    made.servers[busy].busy = true;
    for (int step = 0; step < 500; ++step) {
      made.Run(kStep);
      CHECK_TEXT(made.now < made.lead.Proof().askedAt + 1000ms, busy);
    }
  }
}

TEST(group_lead, a_change_after_a_change_chooses_anew)
{
  bench made;
  made.lead.SetDuty(true, 7, made.now);
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

TEST(group_lead, without_the_duty_it_asks_only_on_demand)
{
  bench made;
  made.Run(3000ms);
  CHECK_EQUAL(0, made.Count(command_kind::kReport));
  made.lead.Wanted(made.now);
  made.Run(100ms);
  CHECK(made.lead.Proof().term == 1);
  // The VM that promotes would not know of a VM that queries while it may not
  // confirm.
  bench barred;
  barred.lead.SetMayAsk(false);
  barred.lead.Wanted(barred.now);
  barred.Run(500ms);
  CHECK_EQUAL(0, barred.Count(command_kind::kReport));
}

TEST(group_lead, who_is_about_to_take_the_duty_proves_but_changes_nothing)
{
  bench made;
  made.lead.SetStandsIn(true);
  made.lead.SetDuty(false, 9, made.now);
  made.Run(1500ms);
  CHECK(made.now < made.lead.Proof().askedAt + 500ms);
  CHECK(made.lead.Speaks());
  // An interim monitor's update must not lift a revocation of the last lock
  // holder.
  CHECK(made.lead.Watch().epoch == 0);
  made.servers["a"].answers = false;
  made.Run(4000ms);
  CHECK(made.promoted.empty());
  CHECK_EQUAL(0, made.Count(command_kind::kFence));
}

TEST(group_lead, a_revocation_holds_until_lifted_or_old)
{
  bench made;
  const lead::lead_news revokes{ {}, std::nullopt, 1, 9 };
  made.lead.HeardWatch(revokes, made.now);
  CHECK(made.lead.Reach(std::nullopt).obeyedTerm == 1);
  made.lead.Wanted(made.now);
  made.Run(900ms);
  CHECK(made.proofs.empty());
  // An update with an older epoch is ignored.
  made.lead.HeardWatch({ {}, std::nullopt, 0, 8 }, made.now);
  CHECK(made.lead.Reach(std::nullopt).obeyedTerm == 1);
  made.lead.HeardWatch({ {}, std::nullopt, 0, 9 }, made.now);
  CHECK(made.lead.Reach(std::nullopt).obeyedTerm == 0);
  made.lead.HeardWatch(revokes, made.now);
  made.Run(5200ms);
  CHECK(made.lead.Reach(std::nullopt).obeyedTerm == 0);
}

TEST(group_lead, the_first_proof_of_a_term_brings_the_primarys_position)
{
  bench made;
  made.lead.Wanted(made.now);
  made.Run(50ms);
  CHECK(made.lead.Proof().term == 1);
  CHECK_EQUAL(1U, made.samples.size());
  CHECK(made.samples.front().term == 1);
  CHECK(made.samples.front().position == made.servers["a"].received);
}

TEST(group_lead, a_vm_that_is_not_in_the_store_takes_no_proof)
{
  bench made;
  made.lead.SetMayAsk(false);
  made.lead.HeardWatch({ { 1, "a", made.now }, std::nullopt, 0, 9 }, made.now);
  made.Run(50ms);
  CHECK(made.proofs.empty());
  made.lead.SetMayAsk(true);
  made.lead.HeardWatch({ { 1, "a", made.now }, std::nullopt, 0, 9 }, made.now);
  made.Run(50ms);
  CHECK_EQUAL(1U, made.proofs.size());
}

namespace {

/// Number of queries of VMs that share one group and receive no updates from a
/// lock holder, where each forwards its results to all others.
struct island_row
{
  const char* name;
  std::size_t vms;
  bool passOn;
  /// Bounds on the queries per VM and second.
  double atLeast;
  double atMost;
};

const island_row kIslands[] = {
  { "one VM", 1, true, 2.0, 8.0 },
  { "six VMs that forward results", 6, true, 0.3, 2.5 },
  { "forty VMs that forward results", 40, true, 0.05, 0.8 },
  { "forty VMs that do not forward results", 40, false, 2.0, 20.0 },
};

} // namespace

TEST(group_lead, vms_without_a_watch_ask_in_turn_and_pass_on)
{
  constexpr int kSeconds = 5;
  for (const auto& row : kIslands) {
    std::vector<std::unique_ptr<bench>> all;
    for (std::size_t i = 0; i < row.vms; ++i) {
      all.push_back(std::make_unique<bench>());
      const auto place = static_cast<double>(i) / static_cast<double>(row.vms);
      all.back()->lead.SetPlace(row.vms, place);
    }
    int gaps = 0;
    for (int step = 0; step < kSeconds * 100; ++step) {
      for (auto& one : all) {
        one->lead.Wanted(one->now);
        const auto before = one->passedOn;
        one->Run(kStep);
        const bool tells = row.passOn && one->passedOn > before;
        for (auto& other : all) {
          if (tells && other != one) {
            other->lead.HeardWatch(one->lead.Watch(), other->now);
          }
        }
      }
      for (const auto& one : all) {
        const bool proved = one->now < one->lead.Proof().askedAt + 1000ms;
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
