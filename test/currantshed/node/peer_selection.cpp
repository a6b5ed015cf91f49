#include "currantshed/node/peer_selection.hpp"

#include <string>
#include <vector>

#include "currantshed/news/exchange.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

std::vector<news::peer>
Peers(std::size_t aCount)
{
  std::vector<news::peer> peers;
  for (std::size_t i = 0; i < aCount; ++i) {
    peers.push_back({ std::string(1, static_cast<char>('a' + i)), "", 0 });
  }
  return peers;
}

std::string
Print(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& one : aNames) {
    text += one;
  }
  return text;
}

struct some_row
{
  const char* name;
  std::size_t peers;
  std::size_t count;
  std::size_t turn;
  std::string expected;
};

const some_row kRows[] = {
  { "none there", 0, 3, 5, "" },
  { "fewer than wanted", 2, 3, 0, "ab" },
  { "fewer than wanted, later", 2, 3, 1, "ab" },
  { "the first", 7, 3, 0, "abc" },
  { "the next", 7, 3, 1, "def" },
  { "past the end", 7, 3, 2, "gab" },
};

} // namespace

TEST_GROUP(peer_selection){};

TEST(peer_selection, takes_the_next_ones_each_turn)
{
  for (const auto& row : kRows) {
    CHECK_EQUAL_TEXT(
      row.expected,
      Print(node::SelectRoundRobin(Peers(row.peers), row.count, row.turn)),
      row.name);
  }
}

TEST(peer_selection, adds_only_what_is_not_there)
{
  std::vector<std::string> names{ "b", "c" };
  node::AppendMissing(names, { "c", "a", "a" });
  CHECK_EQUAL(std::string("bca"), Print(names));
}
