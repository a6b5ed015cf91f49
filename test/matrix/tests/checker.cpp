#include "test/matrix/checker.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace currantshed::matrix;
using std::chrono::milliseconds;

// A run without violations: two changes, one of them in a later term, a read
// with the session token and a bounded read.
history
Good()
{
  history seen;
  seen.settled = true;
  seen.healed = milliseconds(100'000);
  seen.promotions = { { 1, "s1", instant(0) }, { 2, "s2", milliseconds(500) } };
  change_record first;
  first.number = 1;
  first.values = { "a" };
  first.sent = milliseconds(100);
  first.answered = milliseconds(110);
  first.outcome = told_outcome::kDone;
  first.servedBy = "s1";
  change_record second = first;
  second.number = 2;
  second.values = { "b", "c" };
  second.sent = milliseconds(600);
  second.answered = milliseconds(610);
  second.servedBy = "s2";
  change_record third = first;
  third.number = 3;
  third.values = { "d" };
  third.outcome = told_outcome::kNotRun;
  seen.changes = { first, second, third };
  seen.log = { { 1, {} }, { 1, { "a" } }, { 2, {} }, { 2, { "b", "c" } } };
  read_record read;
  read.withToken = true;
  read.bound = milliseconds(300);
  read.sent = milliseconds(700);
  read.answered = milliseconds(705);
  read.outcome = told_outcome::kDone;
  read.values = { "a", "b", "c" };
  read_record bounded = read;
  bounded.session = 1;
  bounded.values = { "a" };
  seen.reads = { read, bounded };
  seen.leaving = { { "s3", milliseconds(900) } };
  seen.work = { { "s3", milliseconds(800) } };
  seen.stops = { { "gateway1", 0 } };
  seen.versions = { { "vm1/0", 1, "one" }, { "vm1/0", 2, "two" } };
  seen.stored = { { "store", 1, "one" }, { "store", 2, "two" } };
  seen.applied = { { "two", 2, told_outcome::kDone },
                   { "three", 2, told_outcome::kNotRun } };
  seen.lastProcesses = { "vm1/0" };
  return seen;
}

struct row
{
  const char* name;
  void (*spoil)(history&);
  invariant expect;
};

const row kRows[] = {
  { "lost",
    [](history& aSeen) { aSeen.log.erase(aSeen.log.begin() + 1); },
    invariant::kNothingLost },
  { "doubled",
    [](history& aSeen) {
      aSeen.log.push_back({ 2, { "a" } });
    },
    invariant::kNothingDoubled },
  { "own write unseen",
    [](history& aSeen) { aSeen.reads[0].values = { "a" }; },
    invariant::kReadYourWrites },
  { "seen before and gone",
    [](history& aSeen) {
      aSeen.changes[0].session = 7;
      aSeen.changes[1].session = 7;
      aSeen.reads.push_back(aSeen.reads[0]);
      aSeen.reads[2].values = { "a" };
    },
    invariant::kReadYourWrites },
  { "older than the bound",
    [](history& aSeen) { aSeen.reads[1].values.clear(); },
    invariant::kBoundedStaleness },
  { "fresh read misses a change",
    [](history& aSeen) { aSeen.reads[1].bound = milliseconds(0); },
    invariant::kBoundedStaleness },
  { "told by the old primary",
    [](history& aSeen) { aSeen.changes[1].servedBy = "s1"; },
    invariant::kNoReplacedPrimary },
  { "told late for an older term",
    [](history& aSeen) {
      aSeen.changes[0].answered = milliseconds(550);
      aSeen.changes[0].servedBy = "s2";
    },
    invariant::kNoReplacedPrimary },
  { "another's row in a transaction",
    [](history& aSeen) {
      aSeen.log[3].values = { "b", "c", "a" };
    },
    invariant::kNothingMixed },
  { "half a transaction is kept",
    [](history& aSeen) { aSeen.log[3].values = { "b" }; },
    invariant::kNothingMixed },
  { "half a transaction is shown",
    [](history& aSeen) {
      aSeen.reads[0].values = { "a", "b" };
    },
    invariant::kWholeAnswers },
  { "another's answer",
    [](history& aSeen) { aSeen.reads[0].whole = false; },
    invariant::kWholeAnswers },
  { "not run, but ran",
    [](history& aSeen) {
      aSeen.log.push_back({ 2, { "d" } });
    },
    invariant::kTrueNotRun },
  { "refused, but ran",
    [](history& aSeen) {
      aSeen.changes[2].outcome = told_outcome::kRefused;
      aSeen.log.push_back({ 2, { "d" } });
    },
    invariant::kTrueNotRun },
  { "work to a leaving upstream",
    [](history& aSeen) { aSeen.work[0].at = milliseconds(901); },
    invariant::kLeavingLeftAlone },
  { "cut off at a stop",
    [](history& aSeen) { aSeen.stops[0].cutOff = 1; },
    invariant::kNothingCutAtStop },
  { "configuration goes back",
    [](history& aSeen) {
      aSeen.versions.push_back({ "vm1/0", 1, "one" });
    },
    invariant::kConfigurationKept },
  { "accepted configuration is gone",
    [](history& aSeen) { aSeen.stored.pop_back(); },
    invariant::kConfigurationKept },
  { "a process misses the last version",
    [](history& aSeen) { aSeen.versions.pop_back(); },
    invariant::kConfigurationKept },
  { "a denied configuration is in force",
    [](history& aSeen) { aSeen.applied[1].declaration = "one"; },
    invariant::kTrueNotRun },
  { "shown and then gone",
    [](history& aSeen) {
      aSeen.changes[2].outcome = told_outcome::kUnknown;
      aSeen.reads[0].values.emplace_back("d");
    },
    invariant::kShownIsKept },
  { "no primary at the end",
    [](history& aSeen) { aSeen.settled = false; },
    invariant::kRecovers },
  { "nothing is done any more",
    [](history& aSeen) {
      aSeen.healed = instant(0);
      aSeen.changes[0].outcome = told_outcome::kUnknown;
      aSeen.changes[1].outcome = told_outcome::kUnknown;
    },
    invariant::kRecovers },
};

} // namespace

TEST_GROUP(matrix_checker){};

TEST(matrix_checker, finds_no_fault_in_a_good_run)
{
  for (const auto& found : Check(Good())) {
    FAIL(found.text.c_str());
  }
}

TEST(matrix_checker, finds_each_breach)
{
  for (const auto& row : kRows) {
    auto seen = Good();
    row.spoil(seen);
    const auto violations = Check(seen);
    const bool found = std::any_of(
      violations.begin(), violations.end(), [&](const auto& aBreach) {
        return aBreach.broken == row.expect;
      });
    CHECK_TEXT(found, row.name);
  }
}
