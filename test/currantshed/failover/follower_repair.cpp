#include "currantshed/failover/follower_repair.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

namespace position = currantshed::position;
using namespace currantshed::failover;
using currantshed::clock::time_point;
using currantshed::upstream::server_role;
using currantshed::upstream::server_status;
using std::chrono::milliseconds;

constexpr int kNobody = -1;

struct server_row
{
  position::term_id term;
  server_role role;
  // Milliseconds since it last heard from its primary.
  int since;
};

struct repair_row
{
  const char* name;
  server_row primary;
  server_row other;
  bool expectFollow;
};

constexpr server_row kLeads{ 5, server_role::kPrimary, kNobody };

const repair_row kRepairRows[] = {
  { "follows already", kLeads, { 5, server_role::kReplica, 10 }, false },
  { "follows, but lost contact",
    kLeads,
    { 5, server_role::kReplica, 4000 },
    false },
  { "fenced at the primary's term",
    kLeads,
    { 5, server_role::kFenced, kNobody },
    true },
  { "follows no primary", kLeads, { 5, server_role::kReplica, kNobody }, true },
  { "replica of an older term",
    kLeads,
    { 4, server_role::kReplica, 10 },
    true },
  { "former primary, reachable again",
    kLeads,
    { 4, server_role::kPrimary, kNobody },
    true },
  { "fenced above", kLeads, { 6, server_role::kFenced, kNobody }, false },
  { "replica of a newer term",
    kLeads,
    { 6, server_role::kReplica, 10 },
    false },
  { "the primary does not lead yet",
    { 5, server_role::kFenced, kNobody },
    { 4, server_role::kReplica, 10 },
    false },
  { "the primary has been deposed",
    { 6, server_role::kReplica, 10 },
    { 4, server_role::kReplica, 10 },
    false },
};

server_status
StatusOf(const server_row& aRow)
{
  server_status status;
  status.term = aRow.term;
  status.role = aRow.role;
  if (aRow.since != kNobody) {
    status.sincePrimary = milliseconds{ aRow.since };
  }
  return status;
}

// Follow requests sent within the time, while the status of both servers stays
// the same.
std::size_t
CountFollows(const repair_row& aRow,
             unsigned aRank,
             bool aOwn,
             milliseconds aTime)
{
  const coordinator_settings settings;
  server_monitor monitor(settings);
  follower_repair subject(settings, monitor);
  currantshed::group::description group;
  group.members.resize(2);
  group.members[0].id = "p";
  group.members[1].id = "r";
  const time_point start{ milliseconds{ 1000 } };
  monitor.Configure(group, start);
  subject.SetRank(aRank);
  subject.SetPrimary({ 5, "p" }, aOwn);
  std::size_t follows = 0;
  for (auto now = start; now < start + aTime; now += milliseconds{ 10 }) {
    monitor.Answered("p", StatusOf(aRow.primary), now, now);
    monitor.Answered("r", StatusOf(aRow.other), now, now);
    std::vector<action> actions;
    subject.Tick(now, actions);
    for (const auto& wanted : actions) {
      const auto& asked = std::get<follow>(wanted);
      CHECK_TEXT(asked.server == "r", aRow.name);
      CHECK_TEXT(asked.primary == "p", aRow.name);
      UNSIGNED_LONGS_EQUAL_TEXT(5, asked.term, aRow.name);
      subject.FollowAnswered(asked.server);
      ++follows;
    }
  }
  return follows;
}

} // namespace

TEST_GROUP(follower_repair){};

TEST(follower_repair, which_servers_are_made_to_follow)
{
  for (const auto& row : kRepairRows) {
    const auto follows = CountFollows(row, 0, false, milliseconds{ 100 });
    UNSIGNED_LONGS_EQUAL_TEXT(row.expectFollow ? 1 : 0, follows, row.name);
  }
}

TEST(follower_repair, attempts_are_spaced)
{
  const auto follows =
    CountFollows(kRepairRows[2], 0, false, milliseconds{ 1000 });
  UNSIGNED_LONGS_EQUAL(5, follows);
}

TEST(follower_repair, later_ranks_wait_unless_they_promoted)
{
  const auto& row = kRepairRows[2];
  constexpr milliseconds kShort{ 250 };
  UNSIGNED_LONGS_EQUAL(0, CountFollows(row, 1, false, kShort));
  CHECK(CountFollows(row, 1, true, kShort) > 0);
  CHECK(CountFollows(row, 1, false, milliseconds{ 700 }) > 0);
}
