#include "currantshed/node/token_client.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

node::token_client
Desk()
{
  node::token_client made;
  made.SetCoordinators({ "own-1", "own-2" }, { { "far-1" }, { "far-2" } });
  return made;
}

const std::size_t kBakers = customer::PartitionOf("baker");

/// The own collectors are "own-1" and "own-2" in the order in which they are
/// asked for the baker's tokens, which their names don't tell.
std::string
Named(const std::string& aRole)
{
  const auto first = Desk().CoordinatorOf(kBakers, kStart);
  const std::string second = first == "own-1" ? "own-2" : "own-1";
  return aRole == "own-1" ? first : aRole == "own-2" ? second : aRole;
}

/// One collector's answer; none where it is silent.
struct reply
{
  const char* vm;
  bool isSilent = false;
  unsigned count = 0;
  std::chrono::milliseconds retryAfter{ 0 };
};

struct desk_row
{
  const char* name;
  unsigned wanted;
  std::vector<reply> replies;
  unsigned granted;
  unsigned refused;
  std::chrono::milliseconds retryAfter;
};

const desk_row kRows[] = {
  { "the own collector has some", 1, { { "own-1", false, 1 } }, 1, 0, 0ms },
  { "another failure domain helps out",
    3,
    { { "own-1", false, 1, 300ms }, { "far-1", false, 2 } },
    3,
    0,
    0ms },
  { "all asked are short: the soonest counts",
    1,
    { { "own-1", false, 0, 300ms },
      { "far-1", false, 0, 200ms },
      { "far-2", false, 0, 900ms } },
    0,
    1,
    200ms },
  { "a silent one is passed over",
    1,
    { { "own-1", true }, { "own-2", false, 1 } },
    1,
    0,
    0ms },
  { "nobody says anything",
    1,
    { { "own-1", true }, { "own-2", true }, { "far-1", true } },
    0,
    1,
    500ms },
};

} // namespace

TEST_GROUP(token_client){};

TEST(token_client, Coordinators_are_asked_in_turn)
{
  for (const auto& row : kRows) {
    auto desk = Desk();
    auto now = kStart;
    desk.Request("baker", row.wanted, now);
    for (const auto& one : row.replies) {
      const auto asks = desk.TakeRequests();
      LONGS_EQUAL_TEXT(1, asks.size(), row.name);
      STRCMP_EQUAL_TEXT(
        Named(one.vm).c_str(), asks.front().vm.c_str(), row.name);
      if (one.isSilent) {
        now = desk.NextTick();
        desk.Tick(now);
      } else {
        now += 2ms;
        desk.OnResponse(asks.front().number, one.count, one.retryAfter, now);
      }
    }
    CHECK_TEXT(desk.TakeRequests().empty(), row.name);
    unsigned granted = 0;
    unsigned refused = 0;
    for (const auto& one : desk.TakeResults()) {
      granted += one.granted;
      refused += one.refused;
      CHECK_TEXT(one.refused == 0 || one.retryAfter == row.retryAfter,
                 row.name);
    }
    LONGS_EQUAL_TEXT(row.granted, granted, row.name);
    LONGS_EQUAL_TEXT(row.refused, refused, row.name);
  }
}

TEST(token_client, An_answer_counts_once)
{
  auto desk = Desk();
  desk.Request("baker", 1, kStart);
  const auto number = desk.TakeRequests().front().number;
  desk.OnResponse(number, 1, 0ms, kStart + 2ms);
  desk.OnResponse(number, 1, 0ms, kStart + 3ms);
  LONGS_EQUAL(1, desk.TakeResults().size());
}

// One that answers late has counted the tokens as given.
TEST(token_client, A_late_answer_counts_for_a_moment)
{
  for (const bool isLost : { false, true }) {
    auto desk = Desk();
    desk.Request("baker", 1, kStart);
    const auto number = desk.TakeRequests().front().number;
    desk.Tick(kStart + 100ms);
    LONGS_EQUAL(1, desk.TakeRequests().size());
    if (isLost) {
      desk.Tick(kStart + 600ms);
      (void)desk.TakeResults();
    }
    desk.OnResponse(number, 1, 0ms, kStart + 600ms);
    LONGS_EQUAL(isLost ? 0 : 1, desk.TakeResults().size());
  }
}

TEST(token_client, Shares_go_to_one_that_speaks)
{
  auto desk = Desk();
  STRCMP_EQUAL(Named("own-1").c_str(),
               desk.CoordinatorOf(kBakers, kStart).c_str());
  desk.Request("baker", 1, kStart);
  desk.Tick(kStart + 100ms);
  STRCMP_EQUAL(Named("own-2").c_str(),
               desk.CoordinatorOf(kBakers, kStart + 100ms).c_str());
  STRCMP_EQUAL(Named("own-1").c_str(),
               desk.CoordinatorOf(kBakers, kStart + 500ms).c_str());
  desk.SetCoordinators({}, {});
  STRCMP_EQUAL("", desk.CoordinatorOf(kBakers, kStart).c_str());
}

// Each VM finds the same collector for a part, and the parts spread.
TEST(token_client, Partitions_are_spread_over_the_coordinators)
{
  node::token_client one;
  node::token_client other;
  one.SetCoordinators({ "own-1", "own-2", "own-3" }, { { "far" } });
  other.SetCoordinators({ "near" }, { { "own-3", "own-1", "own-2" } });
  std::map<std::string, int> parts;
  for (std::size_t part = 0; part < customer::kPartitions; ++part) {
    const auto collector = one.CoordinatorOf(part, kStart);
    ++parts[collector];
    STRCMP_EQUAL("near", other.CoordinatorOf(part, kStart).c_str());
  }
  LONGS_EQUAL(3, parts.size());
  // Who has none at home asks the one that collects there.
  other.Request("baker", 1, kStart);
  other.OnResponse(other.TakeRequests().front().number, 0, 100ms, kStart);
  STRCMP_EQUAL(one.CoordinatorOf(kBakers, kStart).c_str(),
               other.TakeRequests().front().vm.c_str());
}

// A VM that has just started knows nobody yet: its operations wait.
TEST(token_client, Operations_wait_until_a_coordinator_is_known)
{
  node::token_client desk;
  desk.Request("baker", 1, kStart);
  desk.Request("smith", 1, kStart + 400ms);
  CHECK(desk.TakeRequests().empty());
  CHECK(desk.TakeResults().empty());
  // The first has been turned away by now.
  desk.Tick(kStart + 500ms);
  desk.SetCoordinators({ "own-1" }, {});
  const auto asks = desk.TakeRequests();
  LONGS_EQUAL(1, asks.size());
  STRCMP_EQUAL("smith", asks.front().customer.c_str());
}

// While a customer's tokens are used up everywhere nobody is asked again.
TEST(token_client, A_customer_without_tokens_is_refused_at_once)
{
  auto desk = Desk();
  desk.Request("baker", 1, kStart);
  for (auto asks = desk.TakeRequests(); !asks.empty();
       asks = desk.TakeRequests()) {
    desk.OnResponse(asks.front().number, 0, 400ms, kStart);
  }
  LONGS_EQUAL(1, desk.TakeResults().size());
  desk.Request("baker", 2, kStart + 50ms);
  CHECK(desk.TakeRequests().empty());
  const auto told = desk.TakeResults();
  LONGS_EQUAL(2, told.front().refused);
  CHECK(told.front().retryAfter == 350ms);
  desk.Request("smith", 1, kStart + 50ms);
  LONGS_EQUAL(1, desk.TakeRequests().size());
  desk.Request("baker", 1, kStart + 100ms);
  LONGS_EQUAL(1, desk.TakeRequests().size());
}
