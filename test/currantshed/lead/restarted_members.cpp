// A member of a group that starts again under its id holds nothing of before.
// It must not count towards a majority, nor be promoted, by what its life
// before reported, and its silence begins anew.
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
  /// Whether the primary is proved by what was reported before.
  bool proved;
};

const member_row kRows[] = {
  { "all live on",
    { Member("a", 1000ms), Member("b", 1000ms), Member("c", 1000ms) },
    true },
  { "the primary starts again",
    { Member("a", 2000ms), Member("b", 1000ms), Member("c", 1000ms) },
    false },
  { "with a clock that was set back",
    { Member("a", 500ms), Member("b", 1000ms), Member("c", 1000ms) },
    false },
  { "the witness starts again",
    { Member("a", 1000ms), Member("b", 2000ms), Member("c", 1000ms) },
    false },
  { "one that has reported nothing starts again",
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
    CHECK_TEXT(table.Confirmation().has_value() == row.proved, row.name);
    // An answer that the life before was asked for comes late.
    report.isPrimary = true;
    table.Reported("a", report, kStart + 50ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 50ms, kStart + 150ms);
    CHECK_TEXT(table.Confirmation().has_value() == row.proved, row.name);
    report.isPrimary = true;
    table.Reported("a", report, kStart + 110ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 110ms, kStart + 150ms);
    CHECK_TEXT(table.Confirmation().has_value(), row.name);
  }
}

// The server that a change had ordered to be promoted started again, empty,
// just after it had begun to lead. The change had not seen it lead, stayed with
// it, and had it promoted once more, over one that held every acknowledged
// commit:
//   49.761 server_standing server=group-0-1 standing=ready started_at_ms=...003
//   50.903 promotion_ordered server=group-0-1
TEST(restarted_members, are_not_promoted_by_a_choice_made_before_the_restart)
{
  test::monitor_fixture made;
  made.promotesAfter = 1000ms;
  made.lead.SetFailoverLock(true, 7, made.now);
  made.servers["b"].received = { 1, 11 };
  made.Run(2000ms);
  made.lead.Configure({ { "a", false, true }, { "b" }, { "c" } }, made.now);
  made.Run(700ms);
  CHECK(made.promoted.size() == 1 && made.promoted.back() == "b");
  made.promoting.clear();
  made.servers["b"].received = { 1, 0 };
  made.lead.Configure({ { "a", false, true }, Member("b", 2000ms), { "c" } },
                      made.now);
  made.Run(5000ms);
  CHECK(made.lead.Confirmation().primary == "c");
  CHECK_EQUAL(0, made.unsafe);
  for (std::size_t order = 1; order < made.promoted.size(); ++order) {
    CHECK(made.promoted[order] == "c");
  }
}
