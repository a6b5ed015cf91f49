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
MakeClient()
{
  node::token_client made;
  made.SetCoordinators({ "own-1", "own-2" }, { { "far-1" }, { "far-2" } });
  return made;
}

const std::size_t kBakersPartition = customer::PartitionOf("baker");

/// Maps the roles "own-1" and "own-2" to the names of the coordinators in the
/// order in which they are asked for the baker's tokens. The order depends on
/// hashes of the names.
std::string
CoordinatorName(const std::string& aRole)
{
  const auto first = MakeClient().CoordinatorOf(kBakersPartition, kStart);
  const std::string second = first == "own-1" ? "own-2" : "own-1";
  return aRole == "own-1" ? first : aRole == "own-2" ? second : aRole;
}

/// The response of one coordinator, or none.
struct reply
{
  const char* vm;
  bool isUnresponsive = false;
  unsigned count = 0;
  std::chrono::milliseconds retryAfter{ 0 };
};

struct client_row
{
  const char* name;
  unsigned wanted;
  std::vector<reply> replies;
  unsigned granted;
  unsigned refused;
  std::chrono::milliseconds retryAfter;
};

const client_row kRows[] = {
  { "the coordinator of the own failure domain has tokens",
    1,
    { { "own-1", false, 1 } },
    1,
    0,
    0ms },
  { "the rest comes from another failure domain",
    3,
    { { "own-1", false, 1, 300ms }, { "far-1", false, 2 } },
    3,
    0,
    0ms },
  { "no coordinator has enough: the earliest retry time counts",
    1,
    { { "own-1", false, 0, 300ms },
      { "far-1", false, 0, 200ms },
      { "far-2", false, 0, 900ms } },
    0,
    1,
    200ms },
  { "an unresponsive coordinator is skipped",
    1,
    { { "own-1", true }, { "own-2", false, 1 } },
    1,
    0,
    0ms },
  { "no coordinator responds",
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
    auto client = MakeClient();
    auto now = kStart;
    client.Request("baker", row.wanted, now);
    for (const auto& one : row.replies) {
      const auto requests = client.TakeRequests();
      LONGS_EQUAL_TEXT(1, requests.size(), row.name);
      STRCMP_EQUAL_TEXT(
        CoordinatorName(one.vm).c_str(), requests.front().vm.c_str(), row.name);
      if (one.isUnresponsive) {
        now = client.NextTick();
        client.Tick(now);
      } else {
        now += 2ms;
        client.OnResponse(
          requests.front().number, one.count, one.retryAfter, now);
      }
    }
    CHECK_TEXT(client.TakeRequests().empty(), row.name);
    unsigned granted = 0;
    unsigned refused = 0;
    for (const auto& one : client.TakeResults()) {
      granted += one.granted;
      refused += one.refused;
      CHECK_TEXT(one.refused == 0 || one.retryAfter == row.retryAfter,
                 row.name);
    }
    LONGS_EQUAL_TEXT(row.granted, granted, row.name);
    LONGS_EQUAL_TEXT(row.refused, refused, row.name);
  }
}

TEST(token_client, A_response_counts_once)
{
  auto client = MakeClient();
  client.Request("baker", 1, kStart);
  const auto number = client.TakeRequests().front().number;
  client.OnResponse(number, 1, 0ms, kStart + 2ms);
  client.OnResponse(number, 1, 0ms, kStart + 3ms);
  LONGS_EQUAL(1, client.TakeResults().size());
}

// The coordinator has deducted the tokens before its late response.
TEST(token_client, A_late_response_counts_for_a_while)
{
  for (const bool isLost : { false, true }) {
    auto client = MakeClient();
    client.Request("baker", 1, kStart);
    const auto number = client.TakeRequests().front().number;
    client.Tick(kStart + 100ms);
    LONGS_EQUAL(1, client.TakeRequests().size());
    if (isLost) {
      client.Tick(kStart + 600ms);
      (void)client.TakeResults();
    }
    client.OnResponse(number, 1, 0ms, kStart + 600ms);
    LONGS_EQUAL(isLost ? 0 : 1, client.TakeResults().size());
  }
}

TEST(token_client, Shares_go_to_a_responsive_coordinator)
{
  auto client = MakeClient();
  STRCMP_EQUAL(CoordinatorName("own-1").c_str(),
               client.CoordinatorOf(kBakersPartition, kStart).c_str());
  client.Request("baker", 1, kStart);
  client.Tick(kStart + 100ms);
  STRCMP_EQUAL(CoordinatorName("own-2").c_str(),
               client.CoordinatorOf(kBakersPartition, kStart + 100ms).c_str());
  STRCMP_EQUAL(CoordinatorName("own-1").c_str(),
               client.CoordinatorOf(kBakersPartition, kStart + 500ms).c_str());
  client.SetCoordinators({}, {});
  STRCMP_EQUAL("", client.CoordinatorOf(kBakersPartition, kStart).c_str());
}

// Every VM must find the same coordinator for a partition, and all coordinators
// must get partitions.
TEST(token_client, Partitions_are_spread_over_the_coordinators)
{
  node::token_client one;
  node::token_client other;
  one.SetCoordinators({ "own-1", "own-2", "own-3" }, { { "far" } });
  other.SetCoordinators({ "near" }, { { "own-3", "own-1", "own-2" } });
  std::map<std::string, int> partitionCounts;
  for (std::size_t partition = 0; partition < customer::kPartitions;
       ++partition) {
    const auto coordinator = one.CoordinatorOf(partition, kStart);
    ++partitionCounts[coordinator];
    STRCMP_EQUAL("near", other.CoordinatorOf(partition, kStart).c_str());
  }
  LONGS_EQUAL(3, partitionCounts.size());
  // A VM without coordinators in its own failure domain asks the one that
  // coordinates the partition elsewhere.
  other.Request("baker", 1, kStart);
  other.OnResponse(other.TakeRequests().front().number, 0, 100ms, kStart);
  STRCMP_EQUAL(one.CoordinatorOf(kBakersPartition, kStart).c_str(),
               other.TakeRequests().front().vm.c_str());
}

// A VM that has just started knows no coordinator yet: its operations wait.
TEST(token_client, Operations_wait_until_a_coordinator_is_known)
{
  node::token_client client;
  client.Request("baker", 1, kStart);
  client.Request("smith", 1, kStart + 400ms);
  CHECK(client.TakeRequests().empty());
  CHECK(client.TakeResults().empty());
  // The first operation has timed out by now.
  client.Tick(kStart + 500ms);
  client.SetCoordinators({ "own-1" }, {});
  const auto requests = client.TakeRequests();
  LONGS_EQUAL(1, requests.size());
  STRCMP_EQUAL("smith", requests.front().customer.c_str());
}

// While the tokens of a customer are used up at all coordinators, none is asked
// again.
TEST(token_client, A_customer_without_tokens_is_refused_at_once)
{
  auto client = MakeClient();
  client.Request("baker", 1, kStart);
  for (auto requests = client.TakeRequests(); !requests.empty();
       requests = client.TakeRequests()) {
    client.OnResponse(requests.front().number, 0, 400ms, kStart);
  }
  LONGS_EQUAL(1, client.TakeResults().size());
  client.Request("baker", 2, kStart + 50ms);
  CHECK(client.TakeRequests().empty());
  const auto results = client.TakeResults();
  LONGS_EQUAL(2, results.front().refused);
  CHECK(results.front().retryAfter == 350ms);
  client.Request("smith", 1, kStart + 50ms);
  LONGS_EQUAL(1, client.TakeRequests().size());
  client.Request("baker", 1, kStart + 100ms);
  LONGS_EQUAL(1, client.TakeRequests().size());
}
