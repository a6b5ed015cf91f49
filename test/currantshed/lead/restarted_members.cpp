// A member that restarts under the same id has lost its data. The reports of
// its previous incarnation must not count towards a majority or make it a
// candidate for promotion, and the time without an answer starts again.
#include <chrono>
#include <vector>

#include "test/currantshed/lead/monitor_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

lead::member
Member(const char* aId, std::chrono::milliseconds aStartedAt)
{
  return { aId, false, false, proxy::start_time{ aStartedAt } };
}

struct member_row
{
  const char* name;
  std::vector<lead::member> next;
  /// Whether the earlier reports still confirm the primary.
  bool confirmed;
};

const member_row kRows[] = {
  { "no member restarts",
    { Member("a", 1000ms), Member("b", 1000ms), Member("c", 1000ms) },
    true },
  { "the primary restarts",
    { Member("a", 2000ms), Member("b", 1000ms), Member("c", 1000ms) },
    false },
  { "the primary restarts with its clock set back",
    { Member("a", 500ms), Member("b", 1000ms), Member("c", 1000ms) },
    false },
  { "the witness restarts",
    { Member("a", 1000ms), Member("b", 2000ms), Member("c", 1000ms) },
    false },
  { "a member that has reported nothing restarts",
    { Member("a", 1000ms), Member("b", 1000ms), Member("c", 2000ms) },
    true },
};

} // namespace

TEST_GROUP(restarted_members){};

TEST(restarted_members, count_only_by_reports_since_the_restart)
{
  for (const auto& row : kRows) {
    lead::server_table table;
    table.Configure(
      { Member("a", 1000ms), Member("b", 1000ms), Member("c", 1000ms) },
      kStart);
    proxy::server_report report;
    report.term = 1;
    report.received = { 1, 7 };
    report.isPrimary = true;
    table.Reported("a", report, kStart, kStart);
    report.isPrimary = false;
    table.Reported("b", report, kStart, kStart);
    CHECK_TEXT(table.Confirmation().has_value(), row.name);
    table.Configure(row.next, kStart + 100ms);
    CHECK_TEXT(table.Confirmation().has_value() == row.confirmed, row.name);
    // A late answer to a query that was sent to the previous incarnation.
    report.isPrimary = true;
    table.Reported("a", report, kStart + 50ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 50ms, kStart + 150ms);
    CHECK_TEXT(table.Confirmation().has_value() == row.confirmed, row.name);
    report.isPrimary = true;
    table.Reported("a", report, kStart + 110ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 110ms, kStart + 150ms);
    CHECK_TEXT(table.Confirmation().has_value(), row.name);
  }
}

// A choice made before a restart must not be promoted. The chosen server became
// primary and restarted empty a moment later. The takeover had not seen it as
// primary, kept its choice, and had it promoted again over a server that held
// all acknowledged commits.
TEST(restarted_members, are_not_promoted_by_a_choice_made_before_the_restart)
{
  test::monitor_fixture fixture;
  fixture.promotionDelay = 1000ms;
  fixture.monitor.SetFailoverLock(true, 7, fixture.now);
  fixture.servers["b"].received = { 1, 11 };
  fixture.Run(2000ms);
  fixture.monitor.Configure({ { "a", false, true }, { "b" }, { "c" } },
                            fixture.now);
  fixture.Run(700ms);
  CHECK(fixture.promoted.size() == 1 && fixture.promoted.back() == "b");
  fixture.pendingPromotions.clear();
  fixture.servers["b"].received = { 1, 0 };
  fixture.monitor.Configure(
    { { "a", false, true }, Member("b", 2000ms), { "c" } }, fixture.now);
  fixture.Run(5000ms);
  CHECK(fixture.monitor.Confirmation().primary == "c");
  CHECK_EQUAL(0, fixture.unsafePromotions);
  for (std::size_t order = 1; order < fixture.promoted.size(); ++order) {
    CHECK(fixture.promoted[order] == "c");
  }
}
