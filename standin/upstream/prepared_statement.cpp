#include "standin/upstream/prepared_statement.hpp"

#include <algorithm>

#include <absl/strings/numbers.h>

#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

// The index of a parameter among the bound values: $2 is the second, wherever
// it occurs in the statement.
std::size_t
ParameterNumber(sqlite3_stmt* aStatement, int aIndex)
{
  const char* name = sqlite3_bind_parameter_name(aStatement, aIndex);
  std::size_t number = 0;
  if (name == nullptr || !absl::SimpleAtoi(name + 1, &number)) {
    return static_cast<std::size_t>(aIndex);
  }
  return number;
}

} // namespace

row_view::row_view(sqlite3_stmt* aStatement) noexcept
  : mStatement(aStatement)
{
}

int
row_view::size() const noexcept
{
  return sqlite3_column_count(mStatement);
}

std::optional<std::string_view>
row_view::Cell(int aColumn) const
{
  const auto* text = sqlite3_column_text(mStatement, aColumn);
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::string_view(
    reinterpret_cast<const char*>(text),
    static_cast<std::size_t>(sqlite3_column_bytes(mStatement, aColumn)));
}

void
prepared_statement::finalizer::operator()(
  sqlite3_stmt* aStatement) const noexcept
{
  sqlite3_finalize(aStatement);
}

sql_outcome
prepared_statement::Prepare(sqlite3* aDatabase, const std::string& aSql)
{
  sqlite3_stmt* handle = nullptr;
  const char* rest = nullptr;
  const int size = static_cast<int>(aSql.size()) + 1;
  if (sqlite3_prepare_v3(aDatabase,
                         aSql.c_str(),
                         size,
                         SQLITE_PREPARE_PERSISTENT,
                         &handle,
                         &rest) != SQLITE_OK) {
    return LastError(aDatabase);
  }
  mHandle.reset(handle);
  if (handle == nullptr || !FirstWord(rest).empty()) {
    return sql_error{ "42601", "one statement at a time" };
  }
  Examine();
  return std::nullopt;
}

void
prepared_statement::Examine()
{
  auto* handle = mHandle.get();
  for (int index = 0; index < sqlite3_column_count(handle); ++index) {
    mShape.columns.emplace_back(sqlite3_column_name(handle, index));
  }
  mShape.changesData = sqlite3_stmt_readonly(handle) == 0;
  for (int index = 1; index <= sqlite3_bind_parameter_count(handle); ++index) {
    const auto number = ParameterNumber(handle, index);
    mNumbers.push_back(number);
    mShape.parameters = std::max(mShape.parameters, number);
  }
}

const statement_shape&
prepared_statement::Shape() const noexcept
{
  return mShape;
}

sql_outcome
prepared_statement::Run(const std::vector<cell>& aParameters, row_sink aSink)
{
  auto outcome = Bind(aParameters);
  if (!outcome) {
    outcome = Step(aSink);
  }
  sqlite3_reset(mHandle.get());
  return outcome;
}

sql_outcome
prepared_statement::Bind(const std::vector<cell>& aParameters)
{
  int index = 0;
  for (const auto number : mNumbers) {
    ++index;
    if (number == 0 || number > aParameters.size()) {
      return sql_error{ "08P01", "too few parameters" };
    }
    const auto& value = aParameters[number - 1];
    if (!value) {
      sqlite3_bind_null(mHandle.get(), index);
      continue;
    }
    sqlite3_bind_text(mHandle.get(),
                      index,
                      value->data(),
                      static_cast<int>(value->size()),
                      SQLITE_STATIC);
  }
  return std::nullopt;
}

sql_outcome
prepared_statement::Step(row_sink aSink)
{
  auto* handle = mHandle.get();
  while (true) {
    const int state = sqlite3_step(handle);
    if (state == SQLITE_DONE) {
      return std::nullopt;
    }
    if (state != SQLITE_ROW) {
      return LastError(sqlite3_db_handle(handle));
    }
    if (!aSink(row_view(handle))) {
      return sql_error{ "54000", "the result is too large" };
    }
  }
}

} // namespace currantshed::standin::postgres
