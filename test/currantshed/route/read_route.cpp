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
Say(status_tracker& aTracker,
    const std::string& aServer,
    server_role aRole,
    std::uint64_t aIndex,
    time_point aAsked)
{
  server_status status;
  status.term = 1;
  status.role = aRole;
  status.stored = { 1, aIndex };
  status.applied = { 1, aIndex };
  aTracker.Record(aServer, status, aAsked);
}

// The primary writes one record a millisecond for a second; s2 is 10 ms and
// s3 300 ms behind. All were last asked at the end of that second.
status_tracker
MakeTracker()
{
  status_tracker tracker(200ms);
  tracker.SetMembers({ "s1", "s2", "s3" });
  for (std::uint64_t i = 1; i <= kNewest; ++i) {
    const auto asked = kStart + std::chrono::milliseconds(i) - 1000ms;
    Say(tracker, "s1", server_role::kPrimary, i, asked);
    Say(tracker, "s2", server_role::kReplica, i > 10 ? i - 10 : 0, asked);
    Say(tracker, "s3", server_role::kReplica, i > 300 ? i - 300 : 0, asked);
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
  /// Server if ready.
  const char* server;
  reason why;
};

const std::vector<std::string> kEverywhere{ "d1", "d2", "d3" };
const auto kAsIs = [](std::vector<candidate>&) {};

const route_row kRouteRows[] = {
  { "both replicas will do: the first of equals",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
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
    [](std::vector<candidate>& aAll) { aAll[1].inUse = 1; },
    0ms,
    availability::kReady,
    "s3",
    reason::kNone },
  { "one with a connection at hand before a less loaded one",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aAll) {
      aAll[1].inUse = 1;
      aAll[2].connected = false;
    },
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "load is counted by slots",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    [](std::vector<candidate>& aAll) {
      aAll[1].inUse = 1;
      aAll[2].inUse = 2;
      aAll[2].slots = 5;
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
    kAsIs,
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
    kAsIs,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "a position that a replica has by its last word",
    10s,
    { 1, 990 },
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
    0ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "a position that it doesn't have yet: the primary",
    10s,
    { 1, 1000 },
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "the same later, when by its lag it will have it",
    10s,
    { 1, 1000 },
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
    20ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "a position that nobody has",
    10s,
    { 1, 1001 },
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
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
    kAsIs,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "fresh, while no majority was heard of late",
    10s,
    {},
    true,
    kEverywhere,
    {},
    false,
    kAsIs,
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
    kAsIs,
    201ms,
    availability::kReady,
    "s2",
    reason::kNone },
  { "all have been silent for long",
    10s,
    {},
    false,
    kEverywhere,
    {},
    false,
    kAsIs,
    1001ms,
    availability::kNone,
    "",
    reason::kNoPrimary },
  { "replicas tried in vain: the primary",
    10s,
    {},
    false,
    kEverywhere,
    { "s2", "s3" },
    false,
    kAsIs,
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
    [](std::vector<candidate>& aAll) {
      aAll[1].leaving = true;
      aAll[2].leaving = true;
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
    [](std::vector<candidate>& aAll) {
      aAll[1].hasCapacity = false;
      aAll[2].hasCapacity = false;
    },
    0ms,
    availability::kBusy,
    "",
    reason::kNone },
  { "replicas busy for long: the primary",
    10s,
    {},
    false,
    kEverywhere,
    {},
    true,
    [](std::vector<candidate>& aAll) {
      aAll[1].hasCapacity = false;
      aAll[2].hasCapacity = false;
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
    [](std::vector<candidate>& aAll) {
      for (auto& one : aAll) {
        one.hasCapacity = false;
      }
    },
    0ms,
    availability::kBusy,
    "",
    reason::kNone },
  { "a place without a server",
    10s,
    {},
    false,
    { "d9" },
    {},
    false,
    kAsIs,
    0ms,
    availability::kNone,
    "",
    reason::kNoEligibleServer },
  { "only the primary's place",
    10s,
    {},
    false,
    { "d1" },
    {},
    false,
    kAsIs,
    0ms,
    availability::kReady,
    "s1",
    reason::kNone },
  { "only the place of one that is too far behind",
    100ms,
    {},
    false,
    { "d3" },
    {},
    false,
    kAsIs,
    0ms,
    availability::kNone,
    "",
    reason::kTooStale },
  { "fresh, but not in the primary's place",
    10s,
    {},
    true,
    { "d2" },
    {},
    false,
    kAsIs,
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
    const auto made =
      ChooseForRead(candidates, need, tracker, kStart + row.after);
    CHECK_TEXT(made.state == row.state, row.name);
    CHECK_TEXT(made.why == row.why, row.name);
    if (made.state == availability::kReady) {
      CHECK_TEXT(candidates[made.index].server == row.server, row.name);
    }
  }
}
