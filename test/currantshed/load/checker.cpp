#include "currantshed/load/checker.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace load = currantshed::load;
using load::change_outcome;

namespace {

/// Expected number of violations of each kind, in the order of the findings.
struct breach_counts
{
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t falseNotRun = 0;
  std::uint64_t ownReads = 0;
  std::uint64_t stale = 0;
  std::uint64_t fractured = 0;
  std::uint64_t unchecked = 0;

  [[nodiscard]] bool operator==(const breach_counts&) const = default;
};

struct check_row
{
  const char* name;
  load::history given;
  std::vector<load::group_contents> held;
  breach_counts expect;
  bool kept;
};

load::history
MakeChange(change_outcome aOutcome)
{
  return { .changes = {
             { .group = "g", .change = "c", .outcome = aOutcome } } };
}

std::vector<load::group_contents>
MakeContents(unsigned aTimes)
{
  load::group_contents held{ .group = "g" };
  if (aTimes > 0) {
    held.changes["c"] = aTimes;
  }
  return { held };
}

load::history
OwnRead(bool aFound)
{
  return { .ownReads = { { "g", "c", aFound } } };
}

/// A write of 1 at 10 ms, a write of 2 at 20 ms, and one read.
load::history
Clock(std::uint64_t aValue,
      std::chrono::milliseconds aBound,
      load::run_offset aSent,
      const char* aGroup = "g")
{
  return { .clockWrites = { { "g", 2, 20ms }, { "g", 1, 10ms } },
           .clockReads = { { aGroup, aValue, aBound, aSent } } };
}

load::history
Tags(const char* aFirst, const char* aSecond)
{
  return { .tagReads = { { "g", aFirst, aSecond } } };
}

load::history
Cut(change_outcome aOutcome, load::run_offset aSent, load::run_offset aAnswered)
{
  return { .changes = { { .group = "g",
                          .change = "c",
                          .outcome = aOutcome,
                          .sent = aSent,
                          .answered = aAnswered } },
           .cuts = { { "g", "server", 100ms } } };
}

const check_row kCheckRows[] = {
  { "acknowledged and held",
    MakeChange(change_outcome::kDone),
    MakeContents(1),
    {},
    true },
  { "acknowledged and absent",
    MakeChange(change_outcome::kDone),
    MakeContents(0),
    { .lost = 1 },
    false },
  { "acknowledged and held twice",
    MakeChange(change_outcome::kDone),
    MakeContents(2),
    { .duplicated = 1 },
    false },
  { "unknown and held",
    MakeChange(change_outcome::kUnknown),
    MakeContents(1),
    {},
    true },
  { "unknown and absent",
    MakeChange(change_outcome::kUnknown),
    MakeContents(0),
    {},
    true },
  { "unknown and held twice",
    MakeChange(change_outcome::kUnknown),
    MakeContents(2),
    { .duplicated = 1 },
    false },
  { "not run and absent",
    MakeChange(change_outcome::kNotRun),
    MakeContents(0),
    {},
    true },
  { "not run and held",
    MakeChange(change_outcome::kNotRun),
    MakeContents(1),
    { .falseNotRun = 1 },
    false },
  { "refused and held",
    MakeChange(change_outcome::kRefused),
    MakeContents(1),
    { .falseNotRun = 1 },
    false },
  { "abandoned and held",
    MakeChange(change_outcome::kAbandoned),
    MakeContents(1),
    { .falseNotRun = 1 },
    false },
  { "a group that could not be read",
    MakeChange(change_outcome::kDone),
    {},
    { .unchecked = 1 },
    false },
  { "own write read", OwnRead(true), MakeContents(1), {}, true },
  { "own write not read",
    OwnRead(false),
    MakeContents(1),
    { .ownReads = 1 },
    false },
  { "fresh read shows the last write", Clock(2, 0ms, 30ms), {}, {}, true },
  { "fresh read shows an older write",
    Clock(1, 0ms, 30ms),
    {},
    { .stale = 1 },
    false },
  { "write acknowledged after the read was sent",
    Clock(1, 0ms, 15ms),
    {},
    {},
    true },
  { "older by less than the bound", Clock(1, 10ms, 30ms), {}, {}, true },
  { "older by more than the bound",
    Clock(1, 9ms, 30ms),
    {},
    { .stale = 1 },
    false },
  { "nothing read though all may be seen",
    Clock(0, 5ms, 30ms),
    {},
    { .stale = 1 },
    false },
  { "writes of another group", Clock(0, 0ms, 30ms, "h"), {}, {}, true },
  { "tags match", Tags("a", "a"), {}, {}, true },
  { "tags differ", Tags("a", "b"), {}, { .fractured = 1 }, false },
  { "tags held differ",
    {},
    { { .group = "g", .tags = { { "g", "a", "b" } } } },
    { .fractured = 1 },
    false },
  { "group serves again after a cut",
    Cut(change_outcome::kDone, 150ms, 400ms),
    MakeContents(1),
    {},
    true },
  { "group never serves again after a cut",
    Cut(change_outcome::kUnknown, 150ms, 400ms),
    MakeContents(0),
    {},
    false },
};

breach_counts
CountsOf(const load::findings& aFindings)
{
  return { aFindings.lost,
           aFindings.duplicated,
           aFindings.falseNotRun,
           aFindings.readYourWritesViolations,
           aFindings.stalenessViolations,
           aFindings.fracturedReads,
           aFindings.unchecked };
}

struct gap_row
{
  const char* name;
  change_outcome outcome;
  load::run_offset sent;
  load::run_offset answered;
  std::chrono::microseconds expect;
};

constexpr std::chrono::microseconds kNoGap{ -1 };

const gap_row kGapRows[] = {
  { "first write after the cut", change_outcome::kDone, 150ms, 400ms, 300ms },
  { "write in flight at the cut", change_outcome::kDone, 90ms, 110ms, kNoGap },
  { "write without acknowledgement",
    change_outcome::kNotRun,
    150ms,
    400ms,
    kNoGap },
};

struct percentile_row
{
  const char* name;
  unsigned answers;
  std::chrono::microseconds p50;
  std::chrono::microseconds p99;
};

const percentile_row kPercentileRows[] = {
  { "one answer", 1, 1us, 1us },
  { "two answers", 2, 1us, 2us },
  { "a hundred answers", 100, 50us, 99us },
  { "a thousand answers", 1000, 500us, 990us },
};

} // namespace

TEST_GROUP(load_checker){};

TEST(load_checker, violations)
{
  for (const auto& row : kCheckRows) {
    const auto found = load::Check(row.given, row.held);
    CHECK_TEXT(CountsOf(found) == row.expect, row.name);
    CHECK_TEXT(load::HasNoViolations(found) == row.kept, row.name);
  }
}

TEST(load_checker, failover_gap)
{
  for (const auto& row : kGapRows) {
    const auto found =
      load::Check(Cut(row.outcome, row.sent, row.answered), MakeContents(1));
    CHECK_TEXT(found.gaps.size() == 1, row.name);
    CHECK_TEXT(found.gaps[0].gap.value_or(kNoGap) == row.expect, row.name);
  }
}

TEST(load_checker, latency)
{
  for (const auto& row : kPercentileRows) {
    load::history given;
    for (unsigned i = row.answers; i > 0; --i) {
      given.answers.push_back({ .work = "w",
                                .outcome = change_outcome::kDone,
                                .latency = std::chrono::microseconds(i) });
    }
    const auto found = load::Check(given, {});
    CHECK_TEXT(found.classes.at("w").done.p50 == row.p50, row.name);
    CHECK_TEXT(found.classes.at("w").done.p99 == row.p99, row.name);
  }
}

TEST(load_checker, counts_by_answer)
{
  const load::history given{
    .answers = { { "w", change_outcome::kDone, true, true, 1us },
                 { "w", change_outcome::kDone, true, false, 1us },
                 { "w", change_outcome::kNotRun, true, true, 1us },
                 { "w", change_outcome::kDone, false, true, 1us },
                 { "w",
                   change_outcome::kUnknown,
                   true,
                   false,
                   1us,
                   0ms,
                   load::exchange_result::kCutOff },
                 { "w",
                   change_outcome::kUnknown,
                   true,
                   false,
                   1us,
                   0ms,
                   load::exchange_result::kNotSent } }
  };
  const auto found = load::Check(given, {});
  UNSIGNED_LONGLONGS_EQUAL(6, found.requests);
  UNSIGNED_LONGLONGS_EQUAL(1, found.cutOff);
  UNSIGNED_LONGLONGS_EQUAL(2, found.reads);
  UNSIGNED_LONGLONGS_EQUAL(1, found.replicaReads);
}

TEST(load_checker, counts_by_outcome)
{
  load::history given;
  for (const change_outcome outcome : { change_outcome::kDone,
                                        change_outcome::kDone,
                                        change_outcome::kNotRun,
                                        change_outcome::kUnknown,
                                        change_outcome::kRefused,
                                        change_outcome::kAbandoned }) {
    load::Append(given, MakeChange(outcome));
  }
  given.activities = 5;
  given.missedStarts = 2;
  load::Append(given, { .activities = 1, .missedStarts = 1 });
  const auto found = load::Check(given, MakeContents(1));
  UNSIGNED_LONGLONGS_EQUAL(6, found.activities);
  UNSIGNED_LONGLONGS_EQUAL(3, found.missedStarts);
  UNSIGNED_LONGLONGS_EQUAL(2, found.acknowledged);
  UNSIGNED_LONGLONGS_EQUAL(1, found.notRun);
  UNSIGNED_LONGLONGS_EQUAL(1, found.unknown);
  UNSIGNED_LONGLONGS_EQUAL(1, found.refused);
}

namespace {

struct deadline_row
{
  const char* name;
  change_outcome outcome;
  std::chrono::microseconds latency;
  std::uint64_t met;
  std::uint64_t notRun;
};

const deadline_row kDeadlineRows[] = {
  { "done at the deadline", change_outcome::kDone, 10ms, 1, 0 },
  { "done after the deadline", change_outcome::kDone, 10001us, 0, 0 },
  { "refused in time", change_outcome::kNotRun, 1ms, 0, 1 },
  { "unknown in time", change_outcome::kUnknown, 1ms, 0, 0 },
};

} // namespace

TEST(load_checker, deadlines)
{
  for (const auto& row : kDeadlineRows) {
    const load::history given{ .answers = { { .work = "w",
                                              .outcome = row.outcome,
                                              .latency = row.latency,
                                              .deadline = 10ms } } };
    const auto found = load::Check(given, {}).classes.at("w");
    UNSIGNED_LONGLONGS_EQUAL_TEXT(1, found.requests, row.name);
    UNSIGNED_LONGLONGS_EQUAL_TEXT(row.met, found.met, row.name);
    UNSIGNED_LONGLONGS_EQUAL_TEXT(row.notRun, found.notRun.count, row.name);
  }
}
