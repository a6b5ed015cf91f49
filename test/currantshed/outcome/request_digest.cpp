#include "currantshed/outcome/request_digest.hpp"

#include <CppUTest/TestHarness.h>

using currantshed::outcome::request_digest;
using currantshed::upstream::statement;

namespace {

struct differ_row
{
  const char* name;
  std::vector<statement> left;
  std::vector<statement> right;
};

const differ_row kDifferRows[] = {
  { "text", { { "a", {} } }, { { "b", {} } } },
  { "order", { { "a", {} }, { "b", {} } }, { { "b", {} }, { "a", {} } } },
  { "number of statements", { { "a", {} } }, { { "a", {} }, { "a", {} } } },
  { "none at all", {}, { { "", {} } } },
  { "parameter's value", { { "a", { "1" } } }, { { "a", { "2" } } } },
  { "NULL and empty", { { "a", { std::nullopt } } }, { { "a", { "" } } } },
  { "boundaries of parameters",
    { { "a", { "12", "3" } } },
    { { "a", { "1", "23" } } } },
  { "parameter and text", { { "a", { "b" } } }, { { "ab", {} } } },
};

std::string
DigestOf(const std::vector<statement>& aStatements)
{
  request_digest digest;
  digest.Add(aStatements);
  return digest.Text();
}

} // namespace

TEST_GROUP(request_digest){};

TEST(request_digest, what_differs)
{
  for (const auto& row : kDifferRows) {
    CHECK_TEXT(DigestOf(row.left) != DigestOf(row.right), row.name);
    CHECK_TEXT(DigestOf(row.left) == DigestOf(row.left), row.name);
    LONGS_EQUAL_TEXT(32, DigestOf(row.left).size(), row.name);
  }
}
