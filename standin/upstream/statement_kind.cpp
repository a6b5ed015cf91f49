#include "standin/upstream/statement_kind.hpp"

#include <absl/strings/str_cat.h>

#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

struct kind_row
{
  std::string_view text;
  statement_kind kind;
};

constexpr kind_row kServerTexts[] = {
  { "SELECT * FROM currantshed_status", statement_kind::kStatus },
  { "SELECT * FROM currantshed_fence($1)", statement_kind::kFence },
  { "SELECT * FROM currantshed_promote($1)", statement_kind::kPromote },
  { "SELECT * FROM currantshed_follow($1, $2, $3)", statement_kind::kFollow },
};

constexpr kind_row kWords[] = {
  { "", statement_kind::kEmpty },
  { "BEGIN", statement_kind::kBegin },
  { "START", statement_kind::kBegin },
  { "COMMIT", statement_kind::kCommit },
  { "END", statement_kind::kCommit },
  { "ROLLBACK", statement_kind::kRollback },
  { "ABORT", statement_kind::kRollback },
  { "SET", statement_kind::kSet },
};

} // namespace

statement_kind
KindOf(std::string_view aSql)
{
  for (const auto& row : kServerTexts) {
    if (aSql == row.text) {
      return row.kind;
    }
  }
  const auto word = FirstWord(aSql);
  for (const auto& row : kWords) {
    if (word == row.text) {
      return row.kind;
    }
  }
  return statement_kind::kData;
}

std::string
DataTag(std::string_view aSql, std::uint64_t aRows, std::uint64_t aAffected)
{
  const auto word = FirstWord(aSql);
  if (word == "INSERT" || word == "REPLACE") {
    return absl::StrCat("INSERT 0 ", aAffected);
  }
  if (word == "UPDATE" || word == "DELETE") {
    return absl::StrCat(word, " ", aAffected);
  }
  if (word == "CREATE" || word == "ALTER" || word == "DROP") {
    return absl::StrCat(word, " TABLE");
  }
  return absl::StrCat("SELECT ", aRows);
}

} // namespace currantshed::standin::postgres
