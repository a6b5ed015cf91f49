#include "standin/upstream/faults.hpp"

#include "standin/upstream/peers.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed::standin::postgres;

namespace {

struct cut_row
{
  const char* name;
  const char* value;
  bool known;
  bool cutsReplication;
  bool cutsVmOne;
  bool cutsVmTwo;
};

constexpr cut_row kCuts[] = {
  { "none", "none", true, false, false, false },
  { "all", "all", true, true, true, true },
  { "replication", "replication", true, true, false, false },
  { "one vm", "vm:one", true, false, true, false },
  { "two", "vm:one,vm:two", true, false, true, true },
  { "vm and replication", "vm:two,replication", true, true, false, true },
  { "no name", "vm:", false, false, false, false },
  { "unknown", "half", false, false, false, false },
};

struct time_row
{
  const char* name;
  const char* fault;
  const char* value;
  bool known;
};

constexpr time_row kTimes[] = {
  { "lag", "lag_ms", "250", true },
  { "storing", "store_delay_ms", "0", true },
  { "answers", "late_answer_ms", "10", true },
  { "negative", "lag_ms", "-1", false },
  { "not a number", "lag_ms", "1s", false },
  { "too long", "lag_ms", "999999999999", false },
  { "unknown", "lagg_ms", "1", false },
};

struct peer_row
{
  const char* name;
  const char* peers;
  bool found;
};

constexpr peer_row kPeers[] = {
  { "last of three", "a=1.1.1.1:1,c=1.1.1.1:2,b=127.0.0.1:77", true },
  { "absent", "a=1.1.1.1:1", false },
  { "no port", "b=127.0.0.1", false },
  { "port too large", "b=127.0.0.1:70000", false },
  { "empty", "", false },
};

} // namespace

TEST_GROUP(upstream_faults){};

TEST(upstream_faults, cuts)
{
  for (const auto& row : kCuts) {
    faults ordered;
    CHECK_EQUAL_TEXT(row.known, ordered.Set("cut", row.value), row.name);
    CHECK_EQUAL_TEXT(row.cutsReplication, ordered.CutsReplication(), row.name);
    CHECK_EQUAL_TEXT(row.cutsVmOne, ordered.CutsVm("one"), row.name);
    CHECK_EQUAL_TEXT(row.cutsVmTwo, ordered.CutsVm("two"), row.name);
  }
}

TEST(upstream_faults, times)
{
  for (const auto& row : kTimes) {
    faults ordered;
    CHECK_EQUAL_TEXT(row.known, ordered.Set(row.fault, row.value), row.name);
  }
}

TEST(upstream_faults, peers)
{
  for (const auto& row : kPeers) {
    const auto peer = FindPeer(row.peers, "b");
    CHECK_EQUAL_TEXT(row.found, peer.has_value(), row.name);
    if (peer) {
      CHECK_TEXT((*peer == primary_address{ "127.0.0.1", 77 }), row.name);
    }
  }
}
