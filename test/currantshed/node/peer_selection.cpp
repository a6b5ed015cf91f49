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

struct selection_row
{
  const char* name;
  std::size_t peers;
  std::size_t count;
  std::size_t turn;
  std::string expected;
};

const selection_row kRows[] = {
  { "no VMs", 0, 3, 5, "" },
  { "fewer than requested", 2, 3, 0, "ab" },
  { "fewer than requested, next turn", 2, 3, 1, "ab" },
  { "the first turn", 7, 3, 0, "abc" },
  { "the next turn", 7, 3, 1, "def" },
  { "wraps around", 7, 3, 2, "gab" },
};

struct poll_row
{
  const char* name;
  node::path_state given;
  bool forwarder;
  bool others;
};

constexpr poll_row kPolls[] = {
  { "nothing forwarded here", {}, false, false },
  { "nothing forwarded here, and the store fails",
    { .isStoreFailing = true },
    false,
    false },
  { "a subscriber", { .hasForwarders = true }, true, false },
  { "a subscriber that the store does not answer",
    { .hasForwarders = true, .isStoreFailing = true, .isForwarded = true },
    true,
    false },
  { "a subscriber whose forwarders have nothing new either",
    { .hasForwarders = true, .isStoreFailing = true },
    true,
    true },
  { "a forwarder", { .isForwarder = true }, false, false },
  { "a forwarder that the store does not answer",
    { .isForwarder = true, .isStoreFailing = true },
    false,
    true },
  { "the same, with keys of another VM",
    { .isForwarder = true, .isStoreFailing = true, .isForwarded = true },
    false,
    true },
  { "a VM without verification", { .lacksVerification = true }, false, true },
};

} // namespace

TEST_GROUP(peer_selection){};

// A forwarder that the store turned away stayed behind all others until the
// store answered it again.
TEST(peer_selection, others_are_polled_where_forwarders_cannot_help)
{
  for (const auto& row : kPolls) {
    const auto plan = node::PlanPoll(row.given);
    CHECK_EQUAL_TEXT(row.forwarder, plan.forwarder, row.name);
    CHECK_EQUAL_TEXT(row.others, plan.others, row.name);
  }
}

TEST(peer_selection, selects_the_next_ones_each_turn)
{
  for (const auto& row : kRows) {
    CHECK_EQUAL_TEXT(
      row.expected,
      Print(node::SelectRoundRobin(Peers(row.peers), row.count, row.turn)),
      row.name);
  }
}

TEST(peer_selection, appends_only_missing_names)
{
  std::vector<std::string> names{ "b", "c" };
  node::AppendMissing(names, { "c", "a", "a" });
  CHECK_EQUAL(std::string("bca"), Print(names));
}
