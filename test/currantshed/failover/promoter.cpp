#include "currantshed/failover/promoter.hpp"

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

constexpr position::term_id kTerm = 5;
const time_point kStart{ milliseconds{ 1000 } };

// A server that accepts the fence: the end of its log and the position that it
// applied.
struct fenced_row
{
  position::log_position stored;
  position::log_index applied;
  bool leaving = false;
  // A server that does not answer.
  bool silent = false;
};

struct choice_row
{
  const char* name;
  std::vector<fenced_row> servers;
  // s0 was the primary until now; whether it is lost.
  bool lost;
  const char* expect;
};

const choice_row kChoiceRows[] = {
  { "longest log of the newest term",
    { { { 4, 10 }, 10 }, { { 4, 12 }, 12 }, { { 4, 11 }, 11 } },
    true,
    "s1" },
  { "a higher term beats a longer log",
    { { { 3, 90 }, 90 }, { { 3, 80 }, 80 }, { { 4, 12 }, 12 } },
    true,
    "s2" },
  { "among equal logs the one applied furthest",
    { { { 4, 9 }, 9 }, { { 4, 10 }, 2 }, { { 4, 10 }, 8 } },
    true,
    "s2" },
  { "among equal servers the primary until now",
    { { { 4, 10 }, 10 }, { { 4, 10 }, 10 }, { { 4, 10 }, 10 } },
    false,
    "s0" },
  { "otherwise the first by name",
    { { { 4, 9 }, 9 }, { { 4, 10 }, 10 }, { { 4, 10 }, 10 } },
    false,
    "s1" },
  { "a lost primary is skipped",
    { { { 4, 99 }, 99 }, { { 4, 10 }, 10 }, { { 4, 11 }, 11 } },
    true,
    "s2" },
  { "a lost primary is needed for a majority",
    { { { 4, 99 }, 99 }, { { 4, 10 }, 10 }, { { 4, 11 }, 11, false, true } },
    true,
    "s0" },
  { "a leaving primary is skipped",
    { { { 4, 99 }, 99, true }, { { 4, 10 }, 10 }, { { 4, 11 }, 11 } },
    false,
    "s2" },
  { "a leaving server is needed for a majority",
    { { { 4, 99 }, 99, true },
      { { 4, 10 }, 10 },
      { { 4, 11 }, 0, false, true } },
    false,
    "s0" },
  { "no majority, no promotion",
    { { { 4, 9 }, 9 }, { { 4, 10 }, 10, false, true }, { {}, 0, false, true } },
    true,
    "" },
};

coordinator_settings
MakeSettings()
{
  coordinator_settings settings;
  settings.vm = "a";
  settings.incarnation = "a-1";
  return settings;
}

currantshed::group::description
Describe(const std::vector<fenced_row>& aServers)
{
  currantshed::group::description group;
  group.name = "g";
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    currantshed::group::member member;
    member.id = "s" + std::to_string(index);
    member.leaving = aServers[index].leaving;
    group.members.push_back(member);
  }
  return group;
}

server_status
Fenced(const fenced_row& aRow)
{
  server_status status;
  status.term = kTerm;
  status.role = server_role::kFenced;
  status.stored = aRow.stored;
  status.applied = { aRow.stored.term, aRow.applied };
  return status;
}

// Reserves terms 5 and 6 in an empty store.
void
ReserveTerms(term_reservations& aReservations)
{
  std::vector<action> actions;
  aReservations.ObserveTerm(kTerm - 1);
  aReservations.SetUrgent(true);
  aReservations.Tick(kStart, actions);
  aReservations.RecordRead(true, {}, kStart);
  aReservations.Tick(kStart, actions);
  aReservations.RecordSwapped(currantshed::store::swap_outcome::kApplied,
                              kStart);
}

// A monitor, reservations and a promoter; every fence is answered at once.
class bench
{
public:
  explicit bench(std::vector<fenced_row> aServers)
    : settings(MakeSettings())
    , servers(std::move(aServers))
    , monitor(settings)
    , reservations(settings)
    , subject(settings, monitor, reservations)
  {
    monitor.Configure(Describe(servers), kStart);
    ReserveTerms(reservations);
  }

  // Advances the time, answers fences and records promotions.
  void Run(milliseconds aTime)
  {
    const auto end = now + aTime;
    for (; now < end; now += milliseconds{ 10 }) {
      std::vector<action> actions;
      subject.Tick(now, actions);
      for (const auto& wanted : actions) {
        if (const auto* asked = std::get_if<fence>(&wanted)) {
          Answer(*asked);
        } else if (const auto* asked = std::get_if<promote>(&wanted)) {
          promoted.push_back(*asked);
          promotedAt = now;
        }
      }
    }
  }

  void Answer(const fence& aFence)
  {
    const auto& server = servers[aFence.server.back() - '0'];
    if (server.silent) {
      return;
    }
    monitor.Answered(aFence.server, Fenced(server), now, now);
    subject.FenceAnswered(
      aFence.server, aFence.term, true, Fenced(server), now);
  }

  coordinator_settings settings;
  std::vector<fenced_row> servers;
  server_monitor monitor;
  term_reservations reservations;
  promoter subject;
  time_point now = kStart;
  time_point promotedAt;
  std::vector<promote> promoted;
};

} // namespace

TEST_GROUP(promoter){};

TEST(promoter, choice)
{
  for (const auto& row : kChoiceRows) {
    bench given(row.servers);
    given.subject.Begin({ 4, "s0" }, row.lost, {}, given.now);
    given.Run(milliseconds{ 400 });
    const bool expected = *row.expect != '\0';
    UNSIGNED_LONGS_EQUAL_TEXT(
      expected ? 1 : 0, given.promoted.size(), row.name);
    if (expected) {
      STRCMP_EQUAL_TEXT(
        row.expect, given.promoted.front().server.c_str(), row.name);
      UNSIGNED_LONGS_EQUAL_TEXT(kTerm, given.promoted.front().term, row.name);
      CHECK_TEXT(given.promotedAt - kStart >= given.settings.validity,
                 row.name);
    }
  }
}

TEST(promoter, a_refusal_leads_to_a_higher_term)
{
  bench given(kChoiceRows[0].servers);
  given.subject.Begin({ 4, "s0" }, true, {}, given.now);
  given.Run(milliseconds{ 300 });
  given.subject.PromoteAnswered(
    "s1", kTerm, false, Fenced(given.servers[1]), given.now);
  CHECK(given.subject.Step() == step::kBackOff);
  given.Run(milliseconds{ 200 });
  UNSIGNED_LONGS_EQUAL(kTerm + 1, given.subject.Term());
  UNSIGNED_LONGS_EQUAL(1, given.promoted.size());
}

TEST(promoter, success_is_reported_once)
{
  bench given(kChoiceRows[0].servers);
  given.subject.Begin({ 4, "s0" }, true, {}, given.now);
  given.Run(milliseconds{ 300 });
  auto status = Fenced(given.servers[1]);
  status.role = server_role::kPrimary;
  given.subject.PromoteAnswered("s1", kTerm, true, status, given.now);
  CHECK(given.subject.TakePromoted() == (primary_ref{ kTerm, "s1" }));
  CHECK(given.subject.TakePromoted() == primary_ref{});
  CHECK(given.subject.Step() == step::kIdle);
}

// The status shows the result whose response was lost.
TEST(promoter, a_lost_answer_is_found_by_status)
{
  bench given(kChoiceRows[0].servers);
  given.subject.Begin({ 4, "s0" }, true, {}, given.now);
  given.Run(milliseconds{ 300 });
  auto status = Fenced(given.servers[1]);
  status.role = server_role::kPrimary;
  given.monitor.Answered("s1", status, given.now, given.now);
  given.Run(milliseconds{ 20 });
  CHECK(given.subject.TakePromoted() == (primary_ref{ kTerm, "s1" }));
}

TEST(promoter, rank_decides_who_begins_first)
{
  for (const unsigned rank : { 0U, 1U, 2U }) {
    bench given(kChoiceRows[0].servers);
    given.subject.SetRank(rank);
    given.subject.Begin({ 4, "s0" }, true, {}, given.now);
    given.Run(milliseconds{ 1000 });
    const auto delay = 2 * rank * given.settings.probeInterval;
    CHECK(given.promotedAt - kStart >= given.settings.validity + delay);
  }
}
