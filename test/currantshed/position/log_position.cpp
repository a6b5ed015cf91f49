#include "currantshed/position/log_position.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::position::log_position;

namespace {

struct order_row
{
  const char* name;
  log_position older;
  log_position newer;
};

constexpr order_row kOrderRows[] = {
  { "index decides within a term", { 3, 10 }, { 3, 11 } },
  { "term goes before index", { 3, 900 }, { 4, 1 } },
  { "nothing is older than the first record", { 0, 0 }, { 1, 1 } },
};

} // namespace

TEST_GROUP(log_position){};

TEST(log_position, order)
{
  for (const auto& row : kOrderRows) {
    CHECK_TEXT(row.older < row.newer, row.name);
    CHECK_FALSE_TEXT(row.newer < row.older, row.name);
  }
}
