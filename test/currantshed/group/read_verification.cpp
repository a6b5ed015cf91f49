#include "currantshed/group/read_verification.hpp"

#include <chrono>
#include <utility>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::confirm::status_tracker;
using currantshed::group::read_evidence;
using currantshed::group::read_verdict;
using currantshed::group::request;
using currantshed::group::VerifyRead;
using currantshed::position::log_position;
using currantshed::upstream::server_role;
using currantshed::upstream::server_status;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };
constexpr auto kPrimary = server_role::kPrimary;
constexpr auto kReplica = server_role::kReplica;
constexpr auto kFenced = server_role::kFenced;

server_status
MakeStatus(server_role aRole,
           std::uint64_t aTerm,
           log_position aStored,
           log_position aApplied)
{
  server_status status;
  status.term = aTerm;
  status.role = aRole;
  status.stored = aStored;
  status.applied = aApplied;
  return status;
}

server_status
MakeStatus(server_role aRole, std::uint64_t aTerm, log_position aAt)
{
  return MakeStatus(aRole, aTerm, aAt, aAt);
}

// Term 2 was confirmed up to index 50 by status requests at the start, and up
// to 40 by those 100 ms earlier.
status_tracker
MakeTracker()
{
  status_tracker tracker(200ms);
  tracker.SetMembers({ "s1", "s2", "s3" });
  for (const auto& [index, date] :
       { std::pair{ 40U, kStart - 100ms }, std::pair{ 50U, kStart } }) {
    tracker.Record("s1", MakeStatus(kPrimary, 2, { 2, index }), date);
    tracker.Record("s2", MakeStatus(kReplica, 2, { 2, index }), date);
  }
  return tracker;
}

// A read sent at the given time after the start and verified 10 ms later.
struct judge_row
{
  const char* name;
  std::chrono::milliseconds maxStaleness;
  log_position floor;
  server_status before;
  server_status after;
  std::chrono::milliseconds sent;
  read_verdict verdict;
};

const judge_row kJudgeRows[] = {
  { "a replica within the bound that covers the session's position",
    200ms,
    { 2, 45 },
    MakeStatus(kReplica, 2, { 2, 45 }),
    MakeStatus(kReplica, 2, { 2, 50 }),
    0ms,
    read_verdict::kGood },
  { "behind the session's position before, though not after",
    200ms,
    { 2, 45 },
    MakeStatus(kReplica, 2, { 2, 44 }),
    MakeStatus(kReplica, 2, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "older than the bound before, though not after",
    100ms,
    {},
    MakeStatus(kReplica, 2, { 2, 49 }),
    MakeStatus(kReplica, 2, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "shows more than was confirmed",
    200ms,
    {},
    MakeStatus(kReplica, 2, { 2, 50 }),
    MakeStatus(kReplica, 2, { 2, 51 }),
    0ms,
    read_verdict::kUnconfirmed },
  { "its term changed in between",
    200ms,
    {},
    MakeStatus(kReplica, 2, { 2, 50 }),
    MakeStatus(kFenced, 3, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "fenced for the next term: what was confirmed may be shown",
    200ms,
    {},
    MakeStatus(kFenced, 3, { 2, 50 }),
    MakeStatus(kFenced, 3, { 2, 50 }),
    0ms,
    read_verdict::kGood },
  { "it dropped records that were applied",
    200ms,
    {},
    MakeStatus(kReplica, 3, { 2, 52 }),
    MakeStatus(kReplica, 3, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "it dropped records that may have been applied in between",
    200ms,
    {},
    MakeStatus(kFenced, 3, { 2, 52 }, { 2, 50 }),
    MakeStatus(kReplica, 3, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "its log went on in a later term, from an unconfirmed end",
    200ms,
    {},
    MakeStatus(kFenced, 3, { 2, 52 }, { 2, 50 }),
    MakeStatus(kReplica, 3, { 3, 51 }, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "its log went on in a later term, from a confirmed end",
    200ms,
    {},
    MakeStatus(kFenced, 3, { 2, 50 }),
    MakeStatus(kReplica, 3, { 3, 51 }, { 2, 50 }),
    0ms,
    read_verdict::kGood },
  { "fresh: the primary, with statuses of a majority requested since",
    0ms,
    {},
    MakeStatus(kPrimary, 2, { 2, 50 }),
    MakeStatus(kPrimary, 2, { 2, 50 }),
    0ms,
    read_verdict::kGood },
  { "fresh: the primary, but the statuses were requested before",
    0ms,
    {},
    MakeStatus(kPrimary, 2, { 2, 50 }),
    MakeStatus(kPrimary, 2, { 2, 50 }),
    1ms,
    read_verdict::kUnconfirmed },
  { "fresh: the majority's status is too old by now",
    0ms,
    {},
    MakeStatus(kPrimary, 2, { 2, 50 }),
    MakeStatus(kPrimary, 2, { 2, 50 }),
    195ms,
    read_verdict::kUnconfirmed },
  { "fresh: a replica is not sufficient",
    0ms,
    {},
    MakeStatus(kReplica, 2, { 2, 50 }),
    MakeStatus(kReplica, 2, { 2, 50 }),
    0ms,
    read_verdict::kBad },
  { "fresh: a primary of a past term",
    0ms,
    {},
    MakeStatus(kPrimary, 1, { 1, 90 }),
    MakeStatus(kPrimary, 1, { 1, 90 }),
    0ms,
    read_verdict::kBad },
};

} // namespace

TEST_GROUP(read_verification){};

TEST(read_verification, verdict)
{
  const auto tracker = MakeTracker();
  for (const auto& row : kJudgeRows) {
    request asked;
    asked.work.maxStaleness = row.maxStaleness;
    asked.floor = row.floor;
    const read_evidence evidence{ row.before, row.after, kStart + row.sent };
    const auto result =
      VerifyRead(asked, evidence, tracker, kStart + row.sent + 10ms);
    CHECK_TEXT(result == row.verdict, row.name);
  }
}
