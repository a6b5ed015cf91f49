#include "currantshed/route/read_route.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using currantshed::clock::time_point;
using currantshed::confirm::status_tracker;
using currantshed::outcome::reason;
using currantshed::position::log_position;
using currantshed::route::availability;
using currantshed::route::candidate;
using currantshed::route::choice;
using currantshed::route::ChooseForRead;
using currantshed::route::read_requirements;
using currantshed::upstream::server_role;
using currantshed::upstream::server_status;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };
constexpr std::uint64_t kNewest = 1000;

void
RecordStatus(status_tracker& aTracker,
             const std::string& aServer,
             server_role aRole,
             std::uint64_t aIndex,
             time_point aRequestedAt)
{
  server_status status;
  status.term = 1;
  status.role = aRole;
  status.stored = { 1, aIndex };
  status.applied = { 1, aIndex };
  aTracker.Record(aServer, status, aRequestedAt);
}

// The primary writes one record per millisecond for a second. The replica s2
// lags by 10 ms and s3 by 300 ms. All statuses were last requested at the end
// of that second.
status_tracker
MakeTracker()
{
  status_tracker tracker(200ms);
  tracker.SetMembers({ "s1", "s2", "s3" });
  for (std::uint64_t i = 1; i <= kNewest; ++i) {
    const auto requestedAt = kStart + std::chrono::milliseconds(i) - 1000ms;
    RecordStatus(tracker, "s1", server_role::kPrimary, i, requestedAt);
    RecordStatus(
      tracker, "s2", server_role::kReplica, i > 10 ? i - 10 : 0, requestedAt);
    RecordStatus(
      tracker, "s3", server_role::kReplica, i > 300 ? i - 300 : 0, requestedAt);
  }
  return tracker;
}

std::vector<candidate>
Candidates()
{
  return { { "s1", "d1", false, 0, 2, true, true },
           { "s2", "d2", false, 0, 2, true, true },
           { "s3", "d3", false, 0, 2, true, true } };
}

struct route_row
{
  const char* name;
  std::chrono::milliseconds maxStaleness;
  log_position floor;
  bool fresh;
  std::vector<std::string> servedIn;
  std::vector<std::string> tried;
  bool allowSpillover;
  void (*change)(std::vector<candidate>&);
  std::chrono::milliseconds after;
  availability state;
  /// Expected server if the state is kReady.
  const char* server;
  reason why;
};

const std::vector<std::string> kEverywhere{ "d1", "d2", "d3" };
const auto kUnchanged = [](std::vector<candidate>&) {};

const route_row kRouteRows[] = {
  { "both replicas are equally suitable: the first one",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "the less loaded one",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aCandidates) { aCandidates[1].inUse = 1; },
    0ms,
    availability::kReady,
    "s3",
    reason::kNone },
  { "an idle connection comes before a lower load",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aCandidates) {
      aCandidates[1].inUse = 1;
      aCandidates[2].connected = false;
    },
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "load is relative to the slots",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aCandidates) {
      aCandidates[1].inUse = 1;
      aCandidates[2].inUse = 2;
      aCandidates[2].slots = 5;
    },
    0ms,
    availability::kReady,
    "s3",
    reason::kNone },
  { "only one is within the bound",
    100ms,
    {},
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "none is within the bound: the primary",
    5ms,
    {},
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "a position that a replica has by its latest status",
    10s,
    { 1, 990 },
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "a position that no replica has yet: the primary",
    10s,
    { 1, 1000 },
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "the same later, when by its lag a replica has it",
    10s,
    { 1, 1000 },
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    20ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "a position that no server has",
    10s,
    { 1, 1001 },
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kNone,
    "",
    reason::kTooStale },
  { "fresh: the primary",
    10s,
    {},
    true,
    kEverywhere,
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "fresh, without recent statuses of a majority",
    10s,
    {},
    true,
    kEverywhere,
    {},
    false,
    kUnchanged,
    201ms,
    availability::kNone,
    "",
    reason::kNoPrimary },
  { "not fresh, in the same case",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    201ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "all statuses are too old",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    kUnchanged,
    1001ms,
    availability::kNone,
    "",
    reason::kNoPrimary },
  { "replicas already tried: the primary",
    10s,
    {},
    false,
    kEverywhere,
    { "s2", "s3" },
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "replicas leaving: the primary",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aCandidates) {
      aCandidates[1].leaving = true;
      aCandidates[2].leaving = true;
    },
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "replicas busy: wait for them",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aCandidates) {
      aCandidates[1].hasCapacity = false;
      aCandidates[2].hasCapacity = false;
    },
    0ms,
    availability::kBusy,
    "",
    reason::kNone },
  { "replicas busy and spillover allowed: the primary",
    10s,
    {},
    false,
    kEverywhere,
    {},
    true,
    [](std::vector<candidate>& aCandidates) {
      aCandidates[1].hasCapacity = false;
      aCandidates[2].hasCapacity = false;
    },
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "all busy",
    10s,
    {},
    false,
    kEverywhere,
    {},
    true,
    [](std::vector<candidate>& aCandidates) {
      for (auto& one : aCandidates) {
        one.hasCapacity = false;
      }
    },
    0ms,
    availability::kBusy,
    "",
    reason::kNone },
  { "a failure domain without a server",
    10s,
    {},
    false,
    { "d9" },
    {},
    false,
    kUnchanged,
    0ms,
    availability::kNone,
    "",
    reason::kNoEligibleServer },
  { "only the primary's failure domain",
    10s,
    {},
    false,
    { "d1" },
    {},
    false,
    kUnchanged,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "only the failure domain of a replica that lags too far",
    100ms,
    {},
    false,
    { "d3" },
    {},
    false,
    kUnchanged,
    0ms,
    availability::kNone,
    "",
    reason::kTooStale },
  { "fresh, but not in the primary's failure domain",
    10s,
    {},
    true,
    { "d2" },
    {},
    false,
    kUnchanged,
    0ms,
    availability::kNone,
    "",
    reason::kNoEligibleServer },
};

} // namespace

TEST_GROUP(read_route){};

TEST(read_route, choice)
{
  const auto tracker = MakeTracker();
  for (const auto& row : kRouteRows) {
    auto candidates = Candidates();
    row.change(candidates);
    const read_requirements need{ row.servedIn, row.floor, row.maxStaleness,
                                  row.fresh,    row.tried, row.allowSpillover };
    const auto chosen =
      ChooseForRead(candidates, need, tracker, kStart + row.after);
    CHECK_TEXT(chosen.state == row.state, row.name);
    CHECK_TEXT(chosen.why == row.why, row.name);
    if (chosen.state == availability::kReady) {
      CHECK_TEXT(candidates[chosen.index].server == row.server, row.name);
    }
  }
}
