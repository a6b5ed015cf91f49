#include "currantshed/node/line_splitter.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

constexpr std::size_t kLimit = 4;
constexpr const char* kTooLong = "(too long)";

struct limit_row
{
  const char* name;
  std::vector<std::string_view> pieces;
  std::vector<std::string> expect;
  /// Whether bytes are left that belong to no line yet.
  bool hasRest = false;
};

const limit_row kRows[] = {
  { "a line of the limit", { "abcd\r\n" }, { "abcd" } },
  { "a line of the limit, its end in two pieces",
    { "abcd\r", "\ne\r\n" },
    { "abcd", "e" } },
  { "a line of the limit, then its end", { "abcd", "\r\n" }, { "abcd" } },
  { "an LF just before the limit", { "abc\n\r\n" }, { "abc\n" } },
  { "a CR just before the limit", { "abc\r", "\r", "\n" }, { "abc\r" } },
  { "one byte more", { "abcde\r\n", "f\r\n" }, { kTooLong, "f" } },
  { "one byte more, in pieces",
    { "abc", "de", "\r", "\n", "f\r\n" },
    { kTooLong, "f" } },
  { "a CR above the limit", { "abcd\r", "\r\nf\r\n" }, { kTooLong, "f" } },
  { "a CR above the limit, in pieces",
    { "abcd\r", "x", "\r\nf\r\n" },
    { kTooLong, "f" } },
  { "reported before its end", { "abcdef" }, { kTooLong }, true },
  { "reported once", { "abcdef", "ghijkl", "m\n" }, { kTooLong }, true },
  { "a line end that is none while dropping",
    { "abcdef\r", "x\n", "\r", "\r", "\nf\r\n" },
    { kTooLong, "f" } },
  { "between two lines", { "a\r\nbcdefg\r\nh\r\n" }, { "a", kTooLong, "h" } },
  { "the beginning of a line", { "a\r\nb" }, { "a" }, true },
};

std::vector<std::string>
Split(node::line_splitter& aSplitter,
      const std::vector<std::string_view>& aPieces)
{
  std::vector<std::string> lines;
  for (const auto piece : aPieces) {
    aSplitter.Add(piece);
    while (const auto line = aSplitter.Next()) {
      lines.emplace_back(line->isTooLong ? kTooLong : line->text);
    }
  }
  return lines;
}

} // namespace

TEST_GROUP(line_splitter){};

// A message over the limit ended the session without a word, and a part of it
// could be taken for another message.
TEST(line_splitter, a_line_over_the_limit_is_dropped_up_to_its_end)
{
  for (const auto& row : kRows) {
    node::line_splitter splitter(kLimit);
    CHECK_TEXT(Split(splitter, row.pieces) == row.expect, row.name);
    CHECK_EQUAL_TEXT(row.hasRest, splitter.HasRest(), row.name);
  }
}

// What a listener finds unread while it handles a line is what follows it.
TEST(line_splitter, a_returned_line_is_not_unread)
{
  node::line_splitter splitter(kLimit);
  (void)Split(splitter, { "ab" });
  splitter.Add("c\r\nd\r\n");
  CHECK(splitter.Next()->text == "abc");
  CHECK(splitter.HasRest());
  CHECK(splitter.Next()->text == "d");
  CHECK_FALSE(splitter.HasRest());
}

TEST(line_splitter, nothing_is_left_after_clear)
{
  node::line_splitter splitter(kLimit);
  (void)Split(splitter, { "abcdefg" });
  splitter.Clear();
  CHECK_FALSE(splitter.HasRest());
  CHECK(Split(splitter, { "a\r\n" }) == std::vector<std::string>{ "a" });
}
