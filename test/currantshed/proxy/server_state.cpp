#include "currantshed/proxy/server_state.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::path;
using proxy::server_state;

namespace {

constexpr clock::time_point kStart{ 1h };

server_state
Holder()
{
  proxy::server listed;
  listed.id = "i-1";
  listed.service = "claims";
  server_state made(listed, true);
  made.plan.holds = true;
  made.plan.connections = 4;
  made.plan.paths = { path{}, path{ "vm-2", "10.0.0.2", 7442 } };
  return made;
}

struct way_row
{
  const char* name;
  void (*given)(server_state&);
  /// The VM that the way leads through, empty for a direct one.
  const char* via;
};

const way_row kWayRows[] = {
  { "a holder connects directly", [](server_state&) {}, "" },
  { "one that the server has no room for goes through another holder",
    [](server_state& aState) { aState.Full(kStart); },
    "vm-2" },
  { "so does one whose connections fail",
    [](server_state& aState) { aState.Failed(kStart); },
    "vm-2" },
};

} // namespace

TEST_GROUP(server_state){};

TEST(server_state, finds_a_way)
{
  for (const auto& row : kWayRows) {
    auto state = Holder();
    row.given(state);
    const auto* way = state.OpenWay(kStart + 10ms);
    CHECK_TEXT(way != nullptr, row.name);
    CHECK_TEXT(way->vm == row.via, row.name);
  }
}
