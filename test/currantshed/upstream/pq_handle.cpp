#include "currantshed/upstream/pq_handle.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace currantshed::upstream;

namespace {

struct text_row
{
  const char* name;
  statement given;
  bool canBeSent;
};

const std::string kWithZeroByte("a\0b", 3);

const text_row kTexts[] = {
  { "plain", { "SELECT $1", { "a" } }, true },
  { "null and empty", { "SELECT $1, $2", { std::nullopt, "" } }, true },
  { "zero byte in a parameter", { "SELECT $1", { kWithZeroByte } }, false },
  { "zero byte in the statement", { kWithZeroByte, {} }, false },
  { "zero byte at the end",
    { "SELECT $1", { "a", std::string("b\0", 2) } },
    false },
};

} // namespace

TEST_GROUP(pq_handle){};

TEST(pq_handle, only_whole_texts_are_sent)
{
  for (const auto& row : kTexts) {
    CHECK_EQUAL_TEXT(row.canBeSent, CanBeSent(row.given), row.name);
  }
}
