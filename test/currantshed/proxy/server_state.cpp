#include "currantshed/proxy/server_state.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "test/currantshed/proxy/idle_link.hpp"

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
  made.plan.isHolder = true;
  made.plan.connections = 4;
  made.plan.paths = { path{}, path{ "vm-2", "10.0.0.2", 7442 } };
  return made;
}

struct path_row
{
  const char* name;
  void (*arrange)(server_state&);
  /// The relay on the expected path, empty for a direct one.
  const char* via;
};

const path_row kPathRows[] = {
  { "a holder connects directly", [](server_state&) {}, "" },
  { "at the server's connection limit a relay is used",
    [](server_state& aState) { aState.ObserveServerFull(kStart); },
    "vm-2" },
  { "after a failed connection a relay is used",
    [](server_state& aState) { aState.ObserveFailure(kStart); },
    "vm-2" },
};

class no_events final : public proxy::connection_listener
{
public:
  void Opened(proxy::connection&,
              const std::optional<position::log_position>&,
              clock::time_point) override
  {
  }
  void Answered(proxy::connection&,
                const proxy::pending_command&,
                proxy::answer,
                clock::time_point) override
  {
  }
  void Ended(proxy::connection&,
             proxy::link_close_reason,
             clock::time_point) override
  {
  }
};

struct limit_row
{
  const char* name;
  std::size_t connections;
  std::chrono::milliseconds pendingFor;
  bool mayOpen;
};

// The limit is four connections; all existing ones have a pending command.
constexpr limit_row kLimitRows[] = {
  { "below the limit", 3, 10ms, true },
  { "at the limit", 4, 10ms, false },
  { "at the limit, with all answers overdue", 4, 500ms, true },
  { "twice the limit", 8, 500ms, false },
};

} // namespace

TEST_GROUP(server_state){};

TEST(server_state, stalled_connections_do_not_count)
{
  no_events events;
  for (const auto& row : kLimitRows) {
    auto state = Holder();
    for (std::size_t i = 0; i < row.connections; ++i) {
      auto made = std::make_unique<proxy::connection>(
        "i-1", "claims", "", "", events, kStart);
      made->Attach(std::make_unique<test::idle_link>());
      made->Opened(std::nullopt, kStart);
      made->Send({ {} }, { proxy::purpose::kStatement, kStart });
      state.connections.push_back(std::move(made));
    }
    CHECK_TEXT(state.MayOpenDirect(4, kStart + row.pendingFor) == row.mayOpen,
               row.name);
  }
}

TEST(server_state, an_observed_lag_decays)
{
  auto state = Holder();
  state.ObserveLag(kStart - 2400ms, kStart);
  CHECK(state.Lag(kStart) > 2400ms);
  // Not retried at once, but within some seconds even without new information.
  CHECK(state.Lag(kStart + 300ms) > 2400ms);
  CHECK(state.Lag(kStart + 3s) < 2400ms);
  CHECK(state.Lag(kStart + 30s) < 100ms);
}

// Each VM had to be rejected by a replica that lags before it knew; a holder
// knows after the first rejection of all.
TEST(server_state, learns_the_lag_from_a_holder)
{
  struct row
  {
    const char* name;
    std::chrono::milliseconds known;
    std::chrono::milliseconds reported;
    std::chrono::milliseconds lag;
  };
  constexpr row kRows[] = {
    { "a longer one at once", 100ms, 1500ms, 1500ms },
    { "of a shorter one half", 1500ms, 100ms, 800ms },
    { "an upper bound", 100ms, 60000ms, 5000ms },
  };
  for (const auto& row : kRows) {
    auto state = Holder();
    state.ObserveReportedLag(row.known, kStart);
    CHECK_TEXT(state.Lag(kStart) == row.known, row.name);
    state.ObserveReportedLag(row.reported, kStart);
    CHECK_TEXT(state.Lag(kStart) == row.lag, row.name);
  }
}

// The relay sessions to it stay open; what comes next must not take one.
TEST(server_state, leaves_a_relay_that_can_not_reach_the_server)
{
  no_events events;
  auto state = Holder();
  state.plan.isHolder = false;
  state.plan.paths = { path{ "vm-2", "10.0.0.2", 7442 },
                       path{ "vm-3", "10.0.0.3", 7442 } };
  for (const char* via : { "vm-2", "vm-3" }) {
    state.connections.push_back(std::make_unique<proxy::connection>(
      "i-1", "claims", via, "", events, kStart));
    state.connections.back()->Attach(std::make_unique<test::idle_link>());
    state.connections.back()->Opened(std::nullopt, kStart);
  }
  state.ObserveUnreachableThrough("vm-2", kStart);
  STRCMP_EQUAL("vm-3", state.FindIdle({}, false)->via.c_str());
  STRCMP_EQUAL("vm-3", state.PathToOpen(kStart + 50ms)->vm.c_str());
  CHECK(state.IsReachable(kStart + 50ms));
}

TEST(server_state, skips_a_path_that_is_slow_to_open)
{
  no_events events;
  auto state = Holder();
  state.plan.isHolder = false;
  state.plan.paths = { path{ "vm-2", "10.0.0.2", 7442 },
                       path{ "vm-3", "10.0.0.3", 7442 },
                       path{} };
  state.connections.push_back(std::make_unique<proxy::connection>(
    "i-1", "claims", "vm-2", "", events, kStart));
  STRCMP_EQUAL("vm-2", state.PathToOpen(kStart + 50ms)->vm.c_str());
  STRCMP_EQUAL("vm-3", state.PathToOpen(kStart + 150ms)->vm.c_str());
  for (int i = 0; i < 4; ++i) {
    state.connections.push_back(std::make_unique<proxy::connection>(
      "i-1", "claims", "vm-3", "", events, kStart + 150ms));
  }
  // The maximum number of connections being opened through one relay.
  CHECK(state.PathToOpen(kStart + 160ms) == nullptr);
  STRCMP_EQUAL("", state.PathToOpen(kStart + 300ms)->vm.c_str());
}

TEST(server_state, chooses_a_path)
{
  for (const auto& row : kPathRows) {
    auto state = Holder();
    row.arrange(state);
    const auto* chosen = state.PathToOpen(kStart + 10ms);
    CHECK_TEXT(chosen != nullptr, row.name);
    CHECK_TEXT(chosen->vm == row.via, row.name);
  }
}
