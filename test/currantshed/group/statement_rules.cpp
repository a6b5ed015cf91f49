#include "currantshed/group/statement_rules.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::group::MayCallerRun;

namespace {

struct rule_row
{
  const char* sql;
  bool mayRun;
};

constexpr rule_row kRuleRows[] = {
  { "SELECT 1", true },
  { "(select 1)", true },
  { "-- a note\nINSERT INTO report VALUES ($1)", true },
  { "/* a /* nested */ note */ UPDATE report SET place = $1", true },
  { "WITH a AS (SELECT 1) SELECT * FROM a", true },
  { "SELECT 'COMMIT'", true },
  { "", false },
  { "-- nothing but a note", false },
  { "COMMIT", false },
  { "commit and chain", false },
  { "  \n\tCoMmIt", false },
  { "/* x */ROLLBACK", false },
  { "/* a /* nested */ COMMIT */ COMMIT", false },
  { ";COMMIT", false },
  { "--\nEND", false },
  { "START TRANSACTION", false },
  { "PREPARE TRANSACTION 'a'", false },
  { "SAVEPOINT a", false },
  { "SET ROLE x", false },
  { "DISCARD ALL", false },
  { "LISTEN a", false },
  { "SELECT * FROM currantshed_fence(9)", false },
  { "DELETE FROM CURRANTSHED_OUTCOME", false },
};

} // namespace

TEST_GROUP(statement_rules){};

TEST(statement_rules, what_callers_may_run)
{
  for (const auto& row : kRuleRows) {
    CHECK_TEXT(MayCallerRun(row.sql) == row.mayRun, row.sql);
  }
}
