#include "currantshed/upstream/dialect.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed::upstream;
using currantshed::clock::wall_time;

namespace {

using namespace std::chrono_literals;

const auto kDialect = MakePostgresDialect();
constexpr wall_time kIssued{ 1234567ms };

struct text_row
{
  const char* name;
  statement given;
  const char* sql;
  std::vector<cell> parameters;
};

const text_row kTextRows[] = {
  { "status", kDialect->Status(), "SELECT * FROM currantshed_status", {} },
  { "fence",
    kDialect->Fence(7),
    "SELECT * FROM currantshed_fence($1)",
    { "7" } },
  { "promote",
    kDialect->Promote(8),
    "SELECT * FROM currantshed_promote($1)",
    { "8" } },
  { "follow",
    kDialect->Follow(9, "127.0.0.3", 5432),
    "SELECT * FROM currantshed_follow($1, $2, $3)",
    { "9", "127.0.0.3", "5432" } },
  { "begin", kDialect->Begin(false), "BEGIN", {} },
  { "begin read only", kDialect->Begin(true), "BEGIN READ ONLY", {} },
  { "commit", kDialect->Commit(), "COMMIT", {} },
  { "rollback", kDialect->Rollback(), "ROLLBACK", {} },
  { "record outcome",
    kDialect->RecordOutcome("k", kIssued, "d"),
    "INSERT INTO currantshed_outcome (key, issued_ms, digest, state) VALUES "
    "($1, $2, $3, 'done')",
    { "k", "1234567", "d" } },
  { "void outcome",
    kDialect->VoidOutcome("k", kIssued, "d"),
    "INSERT INTO currantshed_outcome (key, issued_ms, digest, state) VALUES "
    "($1, $2, $3, 'void') ON CONFLICT (key) DO NOTHING",
    { "k", "1234567", "d" } },
  { "read outcome",
    kDialect->ReadOutcome("k"),
    "SELECT state, digest FROM currantshed_outcome WHERE key = $1",
    { "k" } },
};

const std::vector<std::string> kColumns = {
  "term",         "role",          "stored_term",     "stored_index",
  "applied_term", "applied_index", "since_primary_ms"
};

struct status_row
{
  const char* name;
  std::vector<std::string> columns;
  std::vector<cell> cells;
  bool readable;
};

const status_row kStatusRows[] = {
  { "primary",
    kColumns,
    { "3", "primary", "3", "9", "2", "8", std::nullopt },
    true },
  { "replica", kColumns, { "3", "replica", "3", "9", "2", "8", "41" }, true },
  { "fenced", kColumns, { "3", "fenced", "3", "9", "2", "8", "41" }, true },
  { "unknown role", kColumns, { "3", "x", "3", "9", "2", "8", "41" }, false },
  { "null term",
    kColumns,
    { std::nullopt, "replica", "3", "9", "2", "8", "41" },
    false },
  { "trailing text",
    kColumns,
    { "3x", "replica", "3", "9", "2", "8", "41" },
    false },
  { "negative", kColumns, { "3", "replica", "-3", "9", "2", "8", "1" }, false },
  { "time since primary not a number",
    kColumns,
    { "3", "replica", "3", "9", "2", "8", "soon" },
    false },
  { "no row", kColumns, {}, false },
  { "two rows",
    kColumns,
    { "3",
      "fenced",
      "3",
      "9",
      "2",
      "8",
      "1",
      "3",
      "fenced",
      "3",
      "9",
      "2",
      "8",
      "1" },
    false },
  { "other columns",
    { "a", "b", "c", "d", "e", "f", "g" },
    { "3", "fenced", "3", "9", "2", "8", "41" },
    false },
};

} // namespace

TEST_GROUP(dialect){};

TEST(dialect, statement_texts)
{
  for (const auto& row : kTextRows) {
    STRCMP_EQUAL_TEXT(row.sql, row.given.sql.c_str(), row.name);
    CHECK_TEXT(row.parameters == row.given.parameters, row.name);
  }
}

TEST(dialect, status_forms)
{
  for (const auto& row : kStatusRows) {
    const auto status =
      kDialect->ReadStatus(result_set{ row.columns, row.cells, 0 });
    CHECK_EQUAL_TEXT(row.readable, status.has_value(), row.name);
  }
}

TEST(dialect, status_values)
{
  const auto status = kDialect->ReadStatus(
    result_set{ kColumns, { "5", "replica", "4", "9", "3", "8", "41" }, 0 });
  CHECK(status.has_value());
  CHECK_EQUAL(5U, status->term);
  CHECK(status->role == server_role::kReplica);
  CHECK((status->stored == currantshed::position::log_position{ 4, 9 }));
  CHECK((status->applied == currantshed::position::log_position{ 3, 8 }));
  CHECK(status->sincePrimary == 41ms);
}
