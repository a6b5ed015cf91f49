#include "standin/upstream/sql_text.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

struct split_row
{
  const char* name;
  const char* text;
  std::vector<std::string> statements;
};

const split_row kSplits[] = {
  { "nothing", " ; -- none\n ;", {} },
  { "two", "SELECT 1; SELECT 2", { "SELECT 1", "SELECT 2" } },
  { "quoted", "SELECT ';' ; X", { "SELECT ';' ", "X" } },
  { "doubled quote", "SELECT 'it''s;'", { "SELECT 'it''s;'" } },
  { "comments", "-- a;b\nSELECT /* ; */ 1;", { "SELECT /* ; */ 1" } },
  { "open quote", "SELECT 'a;b", { "SELECT 'a;b" } },
};

struct word_row
{
  const char* name;
  const char* sql;
  const char* word;
};

constexpr word_row kFirstWords[] = {
  { "plain", "select 1", "SELECT" },
  { "after a comment", "/* x */ -- y\n begin", "BEGIN" },
  { "none", " ; ", "" },
};

} // namespace

TEST_GROUP(sql_text){};

TEST(sql_text, split)
{
  for (const auto& row : kSplits) {
    CHECK_TEXT(SplitStatements(row.text) == row.statements, row.name);
  }
}

TEST(sql_text, first_word)
{
  for (const auto& row : kFirstWords) {
    STRCMP_EQUAL_TEXT(row.word, FirstWord(row.sql).c_str(), row.name);
  }
}

TEST(sql_text, read_only)
{
  CHECK_TRUE(SaysReadOnly("BEGIN READ ONLY"));
  CHECK_TRUE(SaysReadOnly("begin isolation level serializable, read only;"));
  CHECK_FALSE(SaysReadOnly("BEGIN"));
  CHECK_FALSE(SaysReadOnly("BEGIN READ WRITE"));
}
