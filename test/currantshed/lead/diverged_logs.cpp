// A former primary must not be promoted for its longer log: commits that the
// next primary had left behind came back after reads had been served without
// them.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStep;
using test::monitor_fixture;

namespace {

// The first primary's log, and the one with which the second began.
constexpr position::log_index kFirstEnd = 18;
constexpr position::log_index kSecondStart = 14;
constexpr position::log_index kSecondEnd = 20;

enum class restart
{
  kNone,
  kLockHolder,
  kAllVms,
};

struct restart_row
{
  const char* name;
  restart what;
};

const restart_row kRestarts[] = {
  { "nothing has restarted", restart::kNone },
  { "the lock holder has restarted", restart::kLockHolder },
  { "all VMs have restarted", restart::kAllVms },
};

struct left_row
{
  const char* name;
  /// Who is left: "a" was the first primary, "b" the second, "c" a replica, and
  /// "d" is a new server with the first primary's log.
  std::vector<std::string> left;
  /// The position of "c".
  position::log_position behind;
  /// The server that may be promoted, or empty.
  std::string expect;
};

const left_row kLeft[] = {
  { "the first primary and a replica that was behind all along",
    { "a", "c" },
    { 1, 12 },
    "c" },
  { "the first primary and a replica that the second began level with",
    { "a", "c" },
    { 1, kSecondStart },
    "c" },
  { "the first primary and a replica of the second",
    { "a", "c" },
    { 2, kSecondEnd },
    "c" },
  { "the first primary and a replica that received what was left behind",
    { "a", "c" },
    { 1, kSecondStart + 1 },
    "" },
  { "a new server with the first primary's log, and a replica",
    { "d", "c" },
    { 1, 12 },
    "c" },
  { "the first primary and a new server with its log", { "a", "d" }, {}, "" },
  { "the first primary, and later the second", { "a", "b" }, { 1, 12 }, "b" },
};

std::vector<lead::member>
Members(const std::vector<std::string>& aIds)
{
  std::vector<lead::member> members;
  members.reserve(aIds.size());
  for (const auto& id : aIds) {
    members.push_back({ id });
  }
  return members;
}

/// The first primary has crashed with records that no other server has, and the
/// second was promoted and has written.
void
ReplaceFirstPrimary(monitor_fixture& aFixture, const left_row& aRow)
{
  aFixture.servers["a"].received = { 1, kFirstEnd };
  aFixture.servers["b"].received = { 1, kSecondStart };
  aFixture.servers["c"].received = { 1, 12 };
  aFixture.monitor.SetFailoverLock(true, 7, aFixture.now);
  aFixture.Run(2000ms);
  aFixture.servers["a"].answers = false;
  aFixture.Run(5000ms);
  aFixture.servers["b"].received = { 2, kSecondEnd };
  aFixture.servers["c"].received = aRow.behind;
  aFixture.servers["c"].term = std::max<position::term_id>(1, aRow.behind.term);
  aFixture.Run(1000ms);
}

/// The same group with another monitor, which knows the lock's record.
std::unique_ptr<monitor_fixture>
Restart(const monitor_fixture& aFixture, bool aKnowsConfirmation)
{
  auto restarted = std::make_unique<monitor_fixture>();
  restarted->now = aFixture.now;
  restarted->servers = aFixture.servers;
  restarted->recorded = aFixture.recorded;
  if (aKnowsConfirmation) {
    restarted->monitor.WatchUpdateReceived(aFixture.monitor.WatchUpdate(),
                                           restarted->now);
  }
  restarted->monitor.SetTerms(aFixture.recorded, restarted->now);
  return restarted;
}

/// The second primary is lost, and only some servers are left. If it is one of
/// them, it comes back later, and still takes itself for the primary.
void
LoseSecondPrimary(monitor_fixture& aFixture, const left_row& aRow)
{
  const auto isLeft = [&aRow](const std::string& aId) {
    return std::count(aRow.left.begin(), aRow.left.end(), aId) > 0;
  };
  aFixture.servers["d"].received = { 1, kFirstEnd };
  for (auto& [id, one] : aFixture.servers) {
    one.answers = isLeft(id) && id != "b";
    one.primary = id == "b";
  }
  aFixture.promoted.clear();
  aFixture.monitor.Configure(isLeft("d") ? Members({ "b", "c", "d" })
                                         : Members({ "a", "b", "c" }),
                             aFixture.now);
  aFixture.onStep = [&aFixture, isLeft, at = aFixture.now + 4s] {
    if (isLeft("b") && aFixture.now >= at) {
      aFixture.servers["b"].answers = true;
    }
  };
}

} // namespace

TEST_GROUP(diverged_logs){};

TEST(diverged_logs, are_not_promoted_and_a_replica_that_was_behind_is)
{
  for (const auto& row : kLeft) {
    for (const auto& restarted : kRestarts) {
      const auto name = std::string(row.name) + "; " + restarted.name;
      auto fixture = std::make_unique<monitor_fixture>();
      ReplaceFirstPrimary(*fixture, row);
      CHECK_EQUAL_TEXT(1, fixture->promoted.size(), name.c_str());
      CHECK_TEXT(fixture->promoted.front() == "b", name.c_str());
      if (restarted.what != restart::kNone) {
        fixture = Restart(*fixture, restarted.what == restart::kLockHolder);
      }
      LoseSecondPrimary(*fixture, row);
      fixture->monitor.SetFailoverLock(true, 8, fixture->now);
      fixture->Run(12s);
      const auto& promoted = fixture->promoted;
      CHECK_TEXT(
        std::all_of(promoted.begin(),
                    promoted.end(),
                    [&row](const auto& aId) { return aId == row.expect; }),
        name.c_str());
      const auto& confirmation = fixture->monitor.Confirmation();
      const bool isLed = fixture->now < confirmation.askedAt + 1000ms;
      CHECK_EQUAL_TEXT(!row.expect.empty(), isLed, name.c_str());
      CHECK_TEXT(!isLed || confirmation.primary == row.expect, name.c_str());
    }
  }
}

// The record of the lock was written by a version that does not record where a
// term ended.
TEST(diverged_logs, without_a_known_end_the_shortest_log_of_a_majority_leads)
{
  for (const bool followsLater : { false, true }) {
    monitor_fixture fixture;
    fixture.servers["a"] = { .primary = false, .received = { 1, kFirstEnd } };
    fixture.servers["b"].answers = false;
    fixture.servers["c"].received = { 1, 12 };
    if (followsLater) {
      fixture.servers["a"].term = 2;
      fixture.servers["a"].received = { 1, 13 };
    }
    fixture.monitor.SetTerms({ 1, "", {} }, fixture.now);
    fixture.monitor.SetFailoverLock(true, 8, fixture.now);
    fixture.Run(12s);
    CHECK(!fixture.promoted.empty());
    CHECK(fixture.promoted.front() == (followsLater ? "a" : "c"));
  }
}

// Without a correction, a replica that received more before the promotion took
// effect could not be promoted later.
TEST(diverged_logs, the_recorded_end_follows_what_the_new_primary_began_with)
{
  monitor_fixture fixture;
  fixture.servers["b"].received = { 1, 14 };
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.onStep = [&fixture] {
    if (!fixture.promoted.empty() && !fixture.servers["b"].primary) {
      fixture.servers["b"].received = { 1, 16 };
    }
  };
  fixture.Run(5000ms);
  CHECK(fixture.promoted.size() == 1 && fixture.promoted.front() == "b");
  CHECK(fixture.recorded.replaced == 1);
  CHECK(fixture.recorded.ends == (std::vector<lead::term_end>{ { 1, 16 } }));
  CHECK_EQUAL(1, fixture.recordWrites);
}

// A server that the platform did not promote sets no end for the others.
TEST(diverged_logs, a_rejected_order_leaves_no_end)
{
  monitor_fixture fixture;
  fixture.rejectsFirst = true;
  // A VM that does not acknowledge leaves time between the two orders.
  fixture.vms = std::vector<std::string>{ "other" };
  fixture.servers["b"].received = { 1, 14 };
  fixture.servers["c"].received = { 1, 12 };
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.Run(2000ms);
  fixture.servers["a"].answers = false;
  fixture.onStep = [&fixture] {
    if (fixture.promoted.size() == 1) {
      fixture.servers["c"].received = { 1, 16 };
    }
  };
  fixture.Run(5000ms);
  CHECK(fixture.promoted.size() == 2 && fixture.promoted.back() == "c");
  CHECK(fixture.recorded.ends == (std::vector<lead::term_end>{ { 1, 16 } }));
  CHECK_EQUAL(0, fixture.recordWrites);
}
