#include "currantshed/upstream/pq_result.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed::upstream;

namespace {

struct rows_row
{
  const char* name;
  std::vector<std::string> columns;
  std::vector<cell> cells;
  std::size_t bytes;
};

const rows_row kRows[] = {
  { "no row", { "a", "b" }, {}, 0 },
  { "one row", { "a", "b" }, { "x", "yz" }, 3 },
  { "null is not empty", { "a" }, { std::nullopt, "", "q" }, 1 },
};

pq_result
MakeResult(const rows_row& aRow)
{
  pq_result result(PQmakeEmptyPGresult(nullptr, PGRES_TUPLES_OK));
  std::vector<PGresAttDesc> columns;
  for (const auto& name : aRow.columns) {
    PGresAttDesc column{};
    column.name = const_cast<char*>(name.c_str());
    columns.push_back(column);
  }
  PQsetResultAttrs(
    result.get(), static_cast<int>(columns.size()), columns.data());
  for (std::size_t index = 0; index < aRow.cells.size(); ++index) {
    const auto& value = aRow.cells[index];
    PQsetvalue(result.get(),
               static_cast<int>(index / columns.size()),
               static_cast<int>(index % columns.size()),
               value ? const_cast<char*>(value->c_str()) : nullptr,
               value ? static_cast<int>(value->size()) : -1);
  }
  return result;
}

} // namespace

TEST_GROUP(pq_result){};

TEST(pq_result, rows_are_copied_whole)
{
  for (const auto& row : kRows) {
    std::size_t bytes = 0;
    const auto set = ReadRows(MakeResult(row).get(), bytes);
    CHECK_TEXT(set.columns == row.columns, row.name);
    CHECK_TEXT(set.cells == row.cells, row.name);
    CHECK_EQUAL_TEXT(row.bytes, bytes, row.name);
  }
}
