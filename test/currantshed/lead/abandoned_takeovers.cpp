// A VM that had turned slow took a healthy primary for lost, began to replace
// it, lost its lease and gave the change up. What it had ordered was carried
// out all the same: the primary had stepped down. The next holder of the duty
// saw three servers of which none led, and did nothing for the rest of the day,
// since other VMs went on telling that they heard the old primary: it answered
// their reads. The lines that showed it:
//   14.37 lead step=begun detail=lost old=... term=1 (a slow VM)
//   15.78 lead step=abandoned; 15.6 duty_held by another VM
//   19.40 to 20.41 lead step=revocation_lapsed term=1 on 44 VMs
//   from then on no begun, and primary_not_proved 230 to 270 times a second
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
using test::ReachOf;

namespace {

/// What a holder of the duty has done before it gave up.
struct left_behind
{
  bool steppedDown = false;
  bool isFencedB = false;
  bool isFencedC = false;
  /// The term that is recorded as replaced.
  position::term_id replaced = 0;
  /// An order to promote b that has yet to take effect.
  bool isOrdered = false;
};

/// All that a holder may leave, in the order of the steps of a change.
std::vector<left_behind>
AllThatIsLeft()
{
  std::vector<left_behind> all;
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
NameOf(const left_behind& aLeft, bool aIsHeard, bool aKnewPrimary)
{
  const auto flag = [](const char* aName, bool aIsSet) {
    return aIsSet ? std::string(aName) + " " : std::string();
  };
  return flag("stepped down", aLeft.steppedDown) +
         flag("b fenced", aLeft.isFencedB) + flag("c fenced", aLeft.isFencedC) +
         flag("recorded", aLeft.replaced != 0) +
         flag("ordered", aLeft.isOrdered) +
         flag("others hear the old primary", aIsHeard) +
         flag("the new holder knew it", aKnewPrimary);
}

void
Leave(monitor_fixture& aBench, const left_behind& aLeft)
{
  aBench.servers["a"].primary = !aLeft.steppedDown;
  aBench.servers["b"].fencedAt = aLeft.isFencedB ? 2 : 0;
  aBench.servers["c"].fencedAt = aLeft.isFencedC ? 2 : 0;
  aBench.replaced = aLeft.replaced;
  if (aLeft.isOrdered) {
    aBench.promoting.push_back({ "b", aBench.now + 600ms });
  }
}

/// How long a group may have no primary after a holder has given a change up:
/// 1.5 s, and the platform's time to promote.
constexpr auto kAtMost = 1500ms + 300ms;

} // namespace

TEST_GROUP(abandoned_takeovers){};

TEST(abandoned_takeovers, leave_no_group_without_a_primary)
{
  for (const auto& left : AllThatIsLeft()) {
    for (const bool isHeard : { false, true }) {
      for (const bool knewPrimary : { false, true }) {
        const auto name = NameOf(left, isHeard, knewPrimary);
        monitor_fixture made;
        made.vms = { { "vm-2" } };
        if (knewPrimary) {
          made.lead.ConfirmationNeeded(made.now);
          made.Run(500ms);
          CHECK_TEXT(made.lead.Confirmation().primary == "a", name.c_str());
        }
        Leave(made, left);
        made.lead.SetReplacedTerm(left.replaced, made.now);
        made.everyStep = [&made, isHeard] {
          const auto revoked = made.lead.WatchUpdate().revokedTerm;
          const auto heardAt = isHeard ? made.now : clock::time_point{};
          made.lead.ReachUpdateReceived(
            "vm-2", { 1, "a", heardAt, revoked, made.now }, made.now);
        };
        // What the giving up of the change took: proofs from before are over.
        made.Run(1000ms);
        made.lead.SetFailoverLock(true, 8, made.now);
        const auto from = made.now;
        const auto isProved = [&made] {
          const auto& confirmation = made.lead.Confirmation();
          return confirmation.term != 0 &&
                 made.now < confirmation.askedAt + 1000ms &&
                 made.servers[confirmation.primary].primary;
        };
        while (!isProved() && made.now < from + 20s) {
          made.Run(kStep);
        }
        CHECK_TEXT(isProved(), name.c_str());
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
          made.now - from);
        CHECK_TEXT(took <= kAtMost,
                   (name + std::to_string(took.count()) + " ms").c_str());
        made.Run(5000ms);
        CHECK_TEXT(isProved(), (name + "later").c_str());
        LONGS_EQUAL_TEXT(0, made.unsafe, name.c_str());
      }
    }
  }
}

// A group without a primary shows in the log of whoever is to give it one, with
// since when and what for, once a second.
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
    { "all is well", true, true, 0, "" },
    { "no server answers", true, false, 3, "answering=0" },
    { "another VM holds the duty", false, false, 0, "" },
  };
  for (const auto& row : rows) {
    monitor_fixture made;
    made.lead.SetFailoverLock(true, 7, made.now);
    made.Run(1000ms);
    made.lead.SetFailoverLock(row.holdsLock, 7, made.now);
    for (auto& [id, server] : made.servers) {
      server.answers = row.answer;
    }
    // The last proof ends within 1 s, and a second later the first line is due.
    made.Run(4500ms);
    std::vector<std::string> told;
    for (const auto& note : made.notes) {
      if (note.rfind("unproved ", 0) == 0) {
        told.push_back(note);
      }
    }
    CHECK_EQUAL_TEXT(row.lines, told.size(), row.name);
    for (const auto& note : told) {
      CHECK_TEXT(note.find(row.has) != std::string::npos, note.c_str());
      CHECK_TEXT(note.find("since_ms=") != std::string::npos, note.c_str());
    }
  }
}
