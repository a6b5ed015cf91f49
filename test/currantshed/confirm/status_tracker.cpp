#include "currantshed/confirm/status_tracker.hpp"

#include <chrono>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::confirm::status_tracker;
using currantshed::position::log_position;
using currantshed::upstream::server_role;
using currantshed::upstream::server_status;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };
constexpr auto kPrimary = server_role::kPrimary;
constexpr auto kReplica = server_role::kReplica;
constexpr auto kFenced = server_role::kFenced;

// One server's word: role, term and last stored record, and when it was
// asked, counted from the start.
struct word
{
  const char* server;
  server_role role;
  std::uint64_t term;
  log_position stored;
  std::chrono::milliseconds asked;
};

void
Say(status_tracker& aTracker, const std::vector<word>& aWords)
{
  for (const auto& said : aWords) {
    server_status status;
    status.term = said.term;
    status.role = said.role;
    status.stored = said.stored;
    status.applied = said.stored;
    aTracker.Record(said.server, status, kStart + said.asked);
  }
}

status_tracker
MakeTrackerOfThree()
{
  status_tracker tracker(200ms);
  tracker.SetMembers({ "s1", "s2", "s3" });
  return tracker;
}

// The position (2, 10) by the words given, at 100 ms.
struct tracker_row
{
  const char* name;
  std::vector<word> words;
  std::optional<std::uint64_t> term;
  const char* primary;
  std::optional<std::chrono::milliseconds> heldSince;
  bool wasConfirmed;
};

const tracker_row kTrackerRows[] = {
  { "nothing heard", {}, std::nullopt, "", std::nullopt, false },
  { "one word is no majority",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms } },
    std::nullopt,
    "",
    std::nullopt,
    false },
  { "two hold it: since the older question",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 2, 12 }, 30ms } },
    2,
    "s1",
    30ms,
    true },
  { "three hold it: the newer two count",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 2, 10 }, 40ms },
      { "s3", kReplica, 2, { 2, 10 }, 10ms } },
    2,
    "s1",
    40ms,
    true },
  { "only one holds it",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 2, 9 }, 40ms },
      { "s3", kReplica, 2, { 2, 9 }, 40ms } },
    2,
    "s1",
    std::nullopt,
    false },
  { "a member in a later term doesn't count",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kFenced, 3, { 2, 10 }, 40ms } },
    std::nullopt,
    "",
    std::nullopt,
    false },
  { "a record of an earlier term doesn't count",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 1, 20 }, 40ms } },
    2,
    "s1",
    std::nullopt,
    false },
  { "a majority is fenced: the primary is none",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kFenced, 3, { 2, 10 }, 40ms },
      { "s3", kFenced, 3, { 2, 10 }, 40ms } },
    3,
    "",
    std::nullopt,
    false },
  { "held before, then a majority was fenced",
    { { "s1", kPrimary, 2, { 2, 10 }, 10ms },
      { "s2", kReplica, 2, { 2, 10 }, 10ms },
      { "s2", kFenced, 3, { 2, 10 }, 40ms },
      { "s3", kFenced, 3, { 2, 9 }, 40ms } },
    3,
    "",
    std::nullopt,
    true },
  { "the majority was asked too long ago",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 2, 10 }, -101ms } },
    2,
    "",
    -101ms,
    true },
  { "the primary was asked too long ago",
    { { "s1", kPrimary, 2, { 2, 10 }, -101ms },
      { "s2", kReplica, 2, { 2, 10 }, 50ms },
      { "s3", kReplica, 2, { 2, 10 }, 50ms } },
    2,
    "",
    50ms,
    true },
  { "an older word that comes late changes no latest word",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s2", kReplica, 2, { 2, 10 }, 40ms },
      { "s2", kReplica, 1, { 1, 10 }, 10ms } },
    2,
    "s1",
    40ms,
    true },
  { "a server of another group is not counted",
    { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
      { "s9", kReplica, 2, { 2, 10 }, 40ms } },
    std::nullopt,
    "",
    std::nullopt,
    false },
};

} // namespace

TEST_GROUP(status_tracker){};

TEST(status_tracker, what_follows_from_words)
{
  for (const auto& row : kTrackerRows) {
    auto tracker = MakeTrackerOfThree();
    Say(tracker, row.words);
    const auto now = kStart + 100ms;
    const auto term = tracker.Term();
    CHECK_TEXT(term.has_value() == row.term.has_value(), row.name);
    CHECK_TEXT(!term || term->term == *row.term, row.name);
    const auto primary = tracker.Primary(now);
    CHECK_TEXT((primary ? primary->server : "") == row.primary, row.name);
    const auto held = tracker.HeldByMajorityAsOf({ 2, 10 });
    CHECK_TEXT(held.has_value() == row.heldSince.has_value(), row.name);
    CHECK_TEXT(!held || *held == kStart + *row.heldSince, row.name);
    CHECK_TEXT(tracker.WasConfirmed({ 2, 10 }) == row.wasConfirmed, row.name);
  }
}

TEST(status_tracker, a_position_holds_for_the_validity_from_the_question)
{
  auto tracker = MakeTrackerOfThree();
  Say(tracker,
      { { "s1", kPrimary, 2, { 2, 10 }, 0ms },
        { "s2", kReplica, 2, { 2, 10 }, 10ms } });
  CHECK(tracker.IsHeldByMajority({ 2, 10 }, kStart, kStart + 200ms));
  CHECK_FALSE(tracker.IsHeldByMajority({ 2, 10 }, kStart, kStart + 201ms));
  CHECK_FALSE(
    tracker.IsHeldByMajority({ 2, 10 }, kStart + 1ms, kStart + 100ms));
  CHECK_FALSE(tracker.IsHeldByMajority({ 2, 11 }, kStart, kStart + 100ms));
}

TEST(status_tracker, samples_are_dated_by_the_older_question)
{
  auto tracker = MakeTrackerOfThree();
  Say(tracker,
      { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
        { "s2", kReplica, 2, { 2, 5 }, 20ms } });
  CHECK(tracker.Samples().CurrentAsOf({ 2, 10 }) == kStart + 20ms);
  CHECK_FALSE(tracker.Samples().CurrentAsOf({ 2, 9 }).has_value());
}

TEST(status_tracker, a_lone_primary_gives_no_sample)
{
  auto tracker = MakeTrackerOfThree();
  Say(tracker,
      { { "s1", kPrimary, 2, { 2, 10 }, 50ms },
        { "s2", kFenced, 3, { 2, 5 }, 50ms },
        { "s3", kFenced, 3, { 2, 5 }, 50ms } });
  CHECK_FALSE(tracker.Samples().CurrentAsOf({ 2, 10 }).has_value());
}
