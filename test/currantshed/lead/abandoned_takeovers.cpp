// A takeover that is abandoned must not leave its group without a primary. A
// slow VM started to replace a healthy primary, lost its lease and abandoned
// the takeover after the primary had already stepped down. The next lock holder
// saw three servers without a primary and did nothing, because other VMs kept
// reporting that they heard from the old primary, which still answered reads.
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::kStep;
using test::monitor_fixture;
using test::ReceiveReachUpdate;

namespace {

/// The state that a lock holder leaves behind when it abandons a takeover.
struct abandoned_state
{
  bool steppedDown = false;
  bool isFencedB = false;
  bool isFencedC = false;
  /// The term that the store records as replaced.
  position::term_id replaced = 0;
  /// A promotion of b has been requested and has yet to take effect.
  bool isPromotionRequested = false;
};

/// All states that a lock holder may leave behind, in the order of the steps of
/// a takeover.
std::vector<abandoned_state>
AllAbandonedStates()
{
  std::vector<abandoned_state> all;
  for (const bool steppedDown : { false, true }) {
    for (const bool fencedB : { false, true }) {
      for (const bool fencedC : { false, true }) {
        all.push_back({ steppedDown, fencedB, fencedC });
        if (steppedDown || (fencedB && fencedC)) {
          all.push_back({ steppedDown, fencedB, fencedC, 1 });
          all.push_back({ steppedDown, fencedB, fencedC, 1, true });
        }
      }
    }
  }
  return all;
}

std::string
NameOf(const abandoned_state& aState, bool aIsReached, bool aKnewPrimary)
{
  const auto flag = [](const char* aName, bool aIsSet) {
    return aIsSet ? std::string(aName) + " " : std::string();
  };
  return flag("stepped down", aState.steppedDown) +
         flag("b fenced", aState.isFencedB) +
         flag("c fenced", aState.isFencedC) +
         flag("recorded", aState.replaced != 0) +
         flag("ordered", aState.isPromotionRequested) +
         flag("others reach the old primary", aIsReached) +
         flag("the new holder knew the old primary", aKnewPrimary);
}

void
ApplyState(monitor_fixture& aFixture, const abandoned_state& aState)
{
  aFixture.servers["a"].primary = !aState.steppedDown;
  aFixture.servers["b"].fencedAt = aState.isFencedB ? 2 : 0;
  aFixture.servers["c"].fencedAt = aState.isFencedC ? 2 : 0;
  aFixture.replaced = aState.replaced;
  if (aState.isPromotionRequested) {
    aFixture.pendingPromotions.push_back({ "b", aFixture.now + 600ms });
  }
}

/// Maximum time without a primary after a takeover was abandoned: 1.5 s, plus
/// the time that the platform takes to promote.
constexpr auto kMaxOutage = 1500ms + 300ms;

} // namespace

TEST_GROUP(abandoned_takeovers){};

TEST(abandoned_takeovers, leave_no_group_without_a_primary)
{
  for (const auto& state : AllAbandonedStates()) {
    for (const bool isReached : { false, true }) {
      for (const bool knewPrimary : { false, true }) {
        const auto name = NameOf(state, isReached, knewPrimary);
        monitor_fixture fixture;
        fixture.vms = { { "vm-2" } };
        if (knewPrimary) {
          fixture.monitor.ConfirmationNeeded(fixture.now);
          fixture.Run(500ms);
          CHECK_TEXT(fixture.monitor.Confirmation().primary == "a",
                     name.c_str());
        }
        ApplyState(fixture, state);
        fixture.monitor.SetReplacedTerm(state.replaced, fixture.now);
        fixture.onStep = [&fixture, isReached] {
          const auto revoked = fixture.monitor.WatchUpdate().revokedTerm;
          const auto heardAt = isReached ? fixture.now : clock::time_point{};
          fixture.monitor.ReachUpdateReceived(
            "vm-2", { 1, "a", heardAt, revoked, fixture.now }, fixture.now);
        };
        // The takeover took this long, so that earlier confirmations have
        // expired.
        fixture.Run(1000ms);
        fixture.monitor.SetFailoverLock(true, 8, fixture.now);
        const auto from = fixture.now;
        const auto isConfirmed = [&fixture] {
          const auto& confirmation = fixture.monitor.Confirmation();
          return confirmation.term != 0 &&
                 fixture.now < confirmation.askedAt + 1000ms &&
                 fixture.servers[confirmation.primary].primary;
        };
        while (!isConfirmed() && fixture.now < from + 20s) {
          fixture.Run(kStep);
        }
        CHECK_TEXT(isConfirmed(), name.c_str());
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
          fixture.now - from);
        CHECK_TEXT(took <= kMaxOutage,
                   (name + std::to_string(took.count()) + " ms").c_str());
        fixture.Run(5000ms);
        CHECK_TEXT(isConfirmed(), (name + "later").c_str());
        LONGS_EQUAL_TEXT(0, fixture.unsafePromotions, name.c_str());
      }
    }
  }
}

// A group without a primary is logged once a second by the lock holder, with
// the time since when and the state of its members.
TEST(abandoned_takeovers, a_group_without_a_primary_is_logged)
{
  struct row
  {
    const char* name;
    bool holdsLock;
    bool answer;
    std::size_t lines;
    std::string has;
  };
  const row rows[] = {
    { "all servers answer", true, true, 0, "" },
    { "no server answers", true, false, 3, "answering=0" },
    { "another VM holds the lock", false, false, 0, "" },
  };
  for (const auto& row : rows) {
    monitor_fixture fixture;
    fixture.monitor.SetFailoverLock(true, 7, fixture.now);
    fixture.Run(1000ms);
    fixture.monitor.SetFailoverLock(row.holdsLock, 7, fixture.now);
    for (auto& [id, server] : fixture.servers) {
      server.answers = row.answer;
    }
    // The last confirmation expires within 1 s; the first line is due one
    // second later.
    fixture.Run(4500ms);
    std::vector<std::string> logged;
    for (const auto& line : fixture.logLines) {
      if (line.rfind("unproved ", 0) == 0) {
        logged.push_back(line);
      }
    }
    CHECK_EQUAL_TEXT(row.lines, logged.size(), row.name);
    for (const auto& line : logged) {
      CHECK_TEXT(line.find(row.has) != std::string::npos, line.c_str());
      CHECK_TEXT(line.find("since_ms=") != std::string::npos, line.c_str());
    }
  }
}
