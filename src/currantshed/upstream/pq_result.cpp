#include "currantshed/upstream/pq_result.hpp"

#include <charconv>
#include <string_view>

namespace currantshed::upstream {

namespace {

constexpr std::string_view kDataExceptionClass = "22";

std::string
ReadField(const PGresult* aResult, int aField)
{
  const char* text = PQresultErrorField(aResult, aField);
  return text == nullptr ? std::string() : std::string(text);
}

std::uint64_t
ReadAffected(const PGresult* aResult)
{
  // libpq does not modify the result, but takes a non-const pointer.
  auto* result = const_cast<PGresult*>(aResult);
  const std::string_view text = PQcmdTuples(result);
  std::uint64_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

cell
ReadCell(const PGresult* aResult, int aRow, int aColumn)
{
  if (PQgetisnull(aResult, aRow, aColumn) != 0) {
    return std::nullopt;
  }
  const auto size =
    static_cast<std::size_t>(PQgetlength(aResult, aRow, aColumn));
  return std::string(PQgetvalue(aResult, aRow, aColumn), size);
}

} // namespace

result_set
ReadRows(const PGresult* aResult, std::size_t& aBytes)
{
  result_set set;
  const int columns = PQnfields(aResult);
  const int rows = PQntuples(aResult);
  set.columns.reserve(static_cast<std::size_t>(columns));
  for (int column = 0; column < columns; ++column) {
    set.columns.emplace_back(PQfname(aResult, column));
  }
  set.cells.reserve(static_cast<std::size_t>(columns) *
                    static_cast<std::size_t>(rows));
  for (int row = 0; row < rows; ++row) {
    for (int column = 0; column < columns; ++column) {
      set.cells.push_back(ReadCell(aResult, row, column));
      aBytes += set.cells.back() ? set.cells.back()->size() : 0;
    }
  }
  // For SELECT, libpq reports the number of rows returned, not of rows changed.
  if (PQresultStatus(aResult) == PGRES_COMMAND_OK ||
      !std::string_view(PQcmdStatus(const_cast<PGresult*>(aResult)))
         .starts_with("SELECT")) {
    set.affected = ReadAffected(aResult);
  }
  return set;
}

std::string
ReadSqlState(const PGresult* aResult)
{
  return ReadField(aResult, PG_DIAG_SQLSTATE);
}

std::string
ReadMessage(const PGresult* aResult)
{
  auto message = ReadField(aResult, PG_DIAG_MESSAGE_PRIMARY);
  if (!ReadSqlState(aResult).starts_with(kDataExceptionClass)) {
    return message;
  }
  const auto first = message.find('"');
  const auto last = message.rfind('"');
  if (first != std::string::npos && last > first) {
    message.replace(first, last - first + 1, "\"?\"");
  }
  return message;
}

} // namespace currantshed::upstream
