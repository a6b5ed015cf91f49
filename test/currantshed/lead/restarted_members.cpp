// A member of a group that starts again under its id holds nothing of before.
// It must not count towards a majority, nor be promoted, by what its life
// before reported, and its silence begins anew.
#include <chrono>
#include <vector>

#include "currantshed/lead/server_table.hpp"

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

TEST(restarted_members, count_only_by_what_they_report_themselves)
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
    CHECK_TEXT(table.Proof().has_value(), row.name);
    table.Configure(row.next, kStart + 100ms);
    CHECK_TEXT(table.Proof().has_value() == row.proved, row.name);
    // An answer that the life before was asked for comes late.
    report.isPrimary = true;
    table.Reported("a", report, kStart + 50ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 50ms, kStart + 150ms);
    CHECK_TEXT(table.Proof().has_value() == row.proved, row.name);
    report.isPrimary = true;
    table.Reported("a", report, kStart + 110ms, kStart + 150ms);
    report.isPrimary = false;
    table.Reported("b", report, kStart + 110ms, kStart + 150ms);
    CHECK_TEXT(table.Proof().has_value(), row.name);
  }
}
