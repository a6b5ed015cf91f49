#include "currantshed/failover/term_record.hpp"

#include <string>
#include <system_error>

#include "currantshed/failover/error.hpp"

#include <CppUTest/TestHarness.h>

namespace {

namespace position = currantshed::position;

using namespace currantshed::failover;

struct parse_row
{
  const char* name;
  std::string text;
  std::error_code expect;
};

const parse_row kParseRows[] = {
  { "no record yet", "", {} },
  { "whole",
    R"({"term":4,"primary":"s1","highest":6,"reserved":[{"term":5,"vm":"a",)"
    R"("incarnation":"i"}],"changes":["c"]})",
    {} },
  { "not JSON", "term 4", record_error::kNotJson },
  { "cut short", R"({"term":4,"prim)", record_error::kNotJson },
  { "no object", "[4]", record_error::kNotJson },
  { "field missing", R"({"term":4})", record_error::kWrongField },
  { "negative term",
    R"({"term":-4,"primary":"s1","highest":6,"reserved":[],"changes":[]})",
    record_error::kWrongField },
  { "term as text",
    R"({"term":"4","primary":"s1","highest":6,"reserved":[],"changes":[]})",
    record_error::kWrongField },
  { "wrong reservation",
    R"({"term":4,"primary":"s1","highest":6,"reserved":[5],"changes":[]})",
    record_error::kWrongField },
  { "wrong change",
    R"({"term":4,"primary":"s1","highest":6,"reserved":[],"changes":[5]})",
    record_error::kWrongField },
  { "too large", std::string(70000, ' '), record_error::kTooLarge },
};

struct prune_row
{
  const char* name;
  term_record given;
  std::size_t expectReservations;
  std::size_t expectChanges;
};

term_record
Crowded()
{
  term_record record;
  record.highest = 1000;
  for (position::term_id term = 1; term <= 100; ++term) {
    record.reservations.push_back({ term, "other", "o-1" });
    record.changes.push_back("c" + std::to_string(term));
  }
  return record;
}

const prune_row kPruneRows[] = {
  { "keeps the usable terms",
    { 4, "s", 5, { { 5, "a", "a-2" } }, { "c" } },
    1,
    1 },
  { "drops past terms", { 5, "s", 5, { { 5, "a", "a-2" } }, {} }, 0, 0 },
  { "drops an earlier incarnation",
    { 4, "s", 6, { { 5, "a", "a-1" }, { 6, "a", "a-2" } }, {} },
    1,
    0 },
  { "keeps other VMs", { 4, "s", 5, { { 5, "b", "b-1" } }, {} }, 1, 0 },
  { "is bounded", Crowded(), kRecordReservations, kRecordChanges },
};

} // namespace

TEST_GROUP(term_record){};

TEST(term_record, parse)
{
  for (const auto& row : kParseRows) {
    term_record record;
    CHECK_TEXT(ParseRecord(row.text, record) == row.expect, row.name);
    if (row.expect) {
      CHECK_TEXT(record == term_record{}, row.name);
      CHECK_TEXT(!row.expect.message().empty(), row.name);
    }
  }
}

TEST(term_record, print_and_parse)
{
  const term_record record{ 4, "s\"1", 9, { { 8, "a", "a-1" } }, { "x", "y" } };
  term_record again;
  CHECK_FALSE(ParseRecord(SerializeRecord(record), again));
  CHECK(record == again);
}

TEST(term_record, prune)
{
  for (const auto& row : kPruneRows) {
    auto record = row.given;
    PruneRecord(record, "a", "a-2");
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.expectReservations, record.reservations.size(), row.name);
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.expectChanges, record.changes.size(), row.name);
    UNSIGNED_LONGS_EQUAL_TEXT(row.given.highest, record.highest, row.name);
  }
}
