#include "standin/upstream/sql_error.hpp"

#include <string_view>

#include <absl/strings/str_cat.h>

#include "currantshed/upstream/dialect.hpp"

namespace currantshed::standin::postgres {

namespace {

struct code_row
{
  int code;
  std::string_view state;
};

constexpr code_row kCodes[] = {
  { SQLITE_CONSTRAINT_UNIQUE, "23505" },
  { SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
  { SQLITE_CONSTRAINT_ROWID, "23505" },
  { SQLITE_CONSTRAINT_NOTNULL, "23502" },
  { SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
  { SQLITE_CONSTRAINT_CHECK, "23514" },
  { SQLITE_CONSTRAINT_DATATYPE, "22P02" },
  { SQLITE_MISMATCH, "22P02" },
  { SQLITE_TOOBIG, "54000" },
  { SQLITE_AUTH, "42501" },
};

struct text_row
{
  std::string_view text;
  std::string_view state;
};

// SQLite reports all of these with one code, so they are told apart by the
// message text.
constexpr text_row kTexts[] = {
  { "no such table", "42P01" },       { "no such column", "42703" },
  { "has no column named", "42703" }, { "no such function", "42883" },
  { "already exists", "42P07" },      { "syntax error", "42601" },
  { "incomplete input", "42601" },    { "unrecognized token", "42601" },
  { "values for", "42601" },          { "not authorized", "42501" },
};

constexpr std::string_view kInternalError = "XX000";

std::string_view
StateOf(int aCode, std::string_view aText)
{
  for (const auto& row : kCodes) {
    if (row.code == aCode) {
      return row.state;
    }
  }
  for (const auto& row : kTexts) {
    if (aText.find(row.text) != std::string_view::npos) {
      return row.state;
    }
  }
  return kInternalError;
}

} // namespace

sql_error
LastError(sqlite3* aDatabase)
{
  const std::string text = sqlite3_errmsg(aDatabase);
  const auto state = StateOf(sqlite3_extended_errcode(aDatabase), text);
  return { std::string(state), text };
}

sql_error
StaleTerm(position::term_id aTerm)
{
  return { std::string(currantshed::upstream::kStaleTermSqlState),
           absl::StrCat("the server is in term ", aTerm) };
}

sql_error
ReadOnly()
{
  return { std::string(currantshed::upstream::kReadOnlySqlState),
           "cannot change data in a read-only transaction" };
}

} // namespace currantshed::standin::postgres
