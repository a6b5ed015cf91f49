#include "currantshed/policy/near_word.hpp"

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::string_view kKnown[] = { "deadline", "access", "served_in" };

struct near_row
{
  std::string_view given;
  std::string_view expect;
};

constexpr near_row kRows[] = {
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

TEST_GROUP(near_word){};

TEST(near_word, table)
{
  for (const auto& row : kRows) {
    const auto found = currantshed::policy::NearWord(row.given, kKnown);
    CHECK_TEXT(found.value_or("") == row.expect, row.given.data());
  }
}
