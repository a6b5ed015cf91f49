#include "currantshed/policy/closest_match.hpp"

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::string_view kKnown[] = { "deadline", "access", "served_in" };

struct match_row
{
  std::string_view given;
  std::string_view expect;
};

constexpr match_row kRows[] = {
  { "deadlin", "deadline" },
  { "dedline", "deadline" },
  { "acces", "access" },
  { "servedin", "served_in" },
  { "served-in", "served_in" },
  { "weights", "" },
  { "", "" },
  { "x", "" },
};

} // namespace

TEST_GROUP(closest_match){};

TEST(closest_match, table)
{
  for (const auto& row : kRows) {
    const auto found = currantshed::policy::ClosestMatch(row.given, kKnown);
    CHECK_TEXT(found.value_or("") == row.expect, row.given.data());
  }
}
