#include "currantshed/failover/detector.hpp"

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

constexpr int kNoAnswer = -1;
constexpr int kNobody = -2;

// Constant status of one server: its term, role, and time since it lost its
// primary, in milliseconds.
struct server_row
{
  position::term_id term;
  server_role role;
  int since;
  bool leaving = false;
  position::log_index stored = 100;
};

struct assess_row
{
  const char* name;
  std::vector<server_row> servers;
  // Failure domains of the other owners that suspect the primary.
  std::vector<std::string> suspecting;
  milliseconds lasting;
  cause expect;
};

constexpr auto kPrimary = server_role::kPrimary;
constexpr auto kReplica = server_role::kReplica;
constexpr auto kFenced = server_role::kFenced;
const server_row kSilent{ 0, kReplica, kNoAnswer };
const server_row kLeads{ 4, kPrimary, kNobody };
const server_row kHears{ 4, kReplica, 10 };
const server_row kLost{ 4, kReplica, 250 };
const server_row kFollowsNone{ 4, kReplica, kNobody };
const server_row kHigher{ 9, kFenced, kNobody };
const server_row kLeaves{ 4, kPrimary, kNobody, true };
const server_row kBehind{ 4, kReplica, 10, false, 10 };
constexpr milliseconds kShort{ 400 };
constexpr milliseconds kLong{ 1200 };
constexpr milliseconds kVeryLong{ 7000 };

const assess_row kAssessRows[] = {
  { "no fault", { kLeads, kHears, kHears }, {}, kVeryLong, cause::kNone },
  { "no answer at all",
    { kSilent, kSilent, kSilent },
    {},
    kVeryLong,
    cause::kNone },
  { "cut off, without suspicions of peers",
    { kSilent, kHears, kHears },
    {},
    kVeryLong,
    cause::kNone },
  { "both replicas lost the primary",
    { kSilent, kLost, kLost },
    {},
    kShort,
    cause::kLost },
  { "both lost the primary, though it answers here",
    { kLeads, kLost, kLost },
    {},
    kShort,
    cause::kLost },
  { "one replica lost the primary, the other does not answer",
    { kSilent, kLost, kSilent },
    {},
    kVeryLong,
    cause::kNone },
  { "one of two lost the primary",
    { kLeads, kLost, kHears },
    {},
    kLong,
    cause::kNone },
  { "two of four others lost the primary",
    { kSilent, kLost, kLost, kHears, kHears },
    {},
    kLong,
    cause::kNone },
  { "three of four others lost the primary",
    { kSilent, kLost, kLost, kLost, kHears },
    {},
    kShort,
    cause::kLost },
  { "a peer suspects, but it answers here",
    { kLeads, kHears, kHears },
    { "d1", "d2" },
    kLong,
    cause::kNone },
  { "a peer in another domain suspects too",
    { kSilent, kLost, kFollowsNone },
    { "d1" },
    kShort,
    cause::kLost },
  { "peers suspect, but only one server answers here",
    { kSilent, kLost, kSilent },
    { "d1", "d2" },
    kVeryLong,
    cause::kNone },
  { "a peer in the same domain suspects too",
    { kSilent, kHears, kLost },
    { "d0" },
    kVeryLong,
    cause::kNone },
  { "two poolers suspect, but the replicas hear from the primary",
    { kSilent, kHears, kHears },
    { "d1" },
    kShort,
    cause::kNone },
  { "two poolers suspect for long, though the replicas hear from the primary",
    { kSilent, kHears, kHears },
    { "d1" },
    kLong,
    cause::kLost },
  { "recently fenced",
    { kSilent, kHigher, kHigher },
    {},
    kShort,
    cause::kNone },
  { "fenced for long",
    { kSilent, kHigher, kHigher },
    {},
    kLong,
    cause::kNoPrimary },
  { "one fenced, one lost the primary",
    { kSilent, kHigher, kLost },
    {},
    kLong,
    cause::kNoPrimary },
  { "one fenced, no other fault",
    { kLeads, kHears, kHigher },
    {},
    kLong,
    cause::kNone },
  { "one fenced for long, no other fault",
    { kLeads, kHears, kHigher },
    {},
    kVeryLong,
    cause::kHigherTerm },
  { "replicas that follow no primary, primary answers",
    { kLeads, kFollowsNone, kFollowsNone },
    {},
    kVeryLong,
    cause::kNone },
  { "no server leads or follows",
    { kFollowsNone, kFollowsNone, kFollowsNone },
    {},
    kLong,
    cause::kNoPrimary },
  { "primary is leaving",
    { kLeaves, kHears, kHears },
    {},
    kLong,
    cause::kLeaving },
  { "primary is leaving, no replica caught up",
    { kLeaves, kBehind, kBehind },
    {},
    kVeryLong,
    cause::kNone },
  { "primary is leaving, one replica stays and hears from it",
    { kLeaves, kHears, kSilent },
    {},
    kVeryLong,
    cause::kLeaving },
  { "primary is leaving, no other server answers",
    { kLeaves, kSilent, kSilent },
    {},
    kVeryLong,
    cause::kNone },
};

currantshed::group::description
Describe(const assess_row& aRow)
{
  currantshed::group::description group;
  group.name = "g";
  for (std::size_t index = 0; index < aRow.servers.size(); ++index) {
    currantshed::group::member member;
    member.id = "s" + std::to_string(index);
    member.failureDomain = "d" + std::to_string(index % 3);
    member.leaving = aRow.servers[index].leaving;
    group.members.push_back(member);
  }
  return group;
}

server_status
StatusOf(const server_row& aRow)
{
  server_status status;
  status.term = aRow.term;
  status.role = aRow.role;
  status.stored = { aRow.term, aRow.stored };
  if (aRow.since >= 0) {
    status.sincePrimary = milliseconds{ aRow.since };
  }
  return status;
}

// Probe answers and suspicions arrive every 50 ms for the time of the row;
// returns the last result.
cause
Assess(const assess_row& aRow)
{
  coordinator_settings settings;
  settings.failureDomain = "d0";
  settings.owners = 3;
  server_monitor monitor(settings);
  detector subject(settings);
  const auto group = Describe(aRow);
  time_point now{ milliseconds{ 1000 } };
  const auto end = now + aRow.lasting;
  monitor.Configure(group, now);
  cause found = cause::kNone;
  for (; now <= end; now += milliseconds{ 50 }) {
    std::vector<action> probes;
    monitor.Tick(now, probes);
    for (std::size_t index = 0; index < aRow.servers.size(); ++index) {
      const auto& server = aRow.servers[index];
      const auto& id = group.members[index].id;
      if (server.since != kNoAnswer) {
        monitor.Answered(id, StatusOf(server), now, now);
      } else {
        monitor.Failed(id, now);
      }
    }
    for (const auto& domain : aRow.suspecting) {
      subject.PeerSuspects("vm-" + domain, domain, { "g", 4, "s0" }, now);
    }
    found = subject.Assess(monitor, { 4, "s0" }, now);
  }
  return found;
}

} // namespace

TEST_GROUP(detector){};

TEST(detector, assess)
{
  for (const auto& row : kAssessRows) {
    CHECK_TEXT(Assess(row) == row.expect, row.name);
  }
}

// Answers to old probes, as received by a pooler that resumes after a pause,
// are no evidence.
TEST(detector, late_answers_are_no_evidence)
{
  coordinator_settings settings;
  settings.owners = 3;
  server_monitor monitor(settings);
  detector subject(settings);
  const auto group = Describe(kAssessRows[0]);
  const time_point asked{ milliseconds{ 1000 } };
  const auto woken = asked + milliseconds{ 5000 };
  monitor.Configure(group, asked);
  std::vector<action> probes;
  monitor.Tick(asked, probes);
  monitor.Answered("s1", StatusOf(kLost), asked, woken);
  monitor.Answered("s2", StatusOf(kLost), asked, woken);
  CHECK(subject.Assess(monitor, { 4, "s0" }, woken) == cause::kNone);
  const auto later = woken + milliseconds{ 100 };
  CHECK(subject.Assess(monitor, { 4, "s0" }, later) == cause::kNone);
}
