#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::failure_code;
using test::recording_caller;

namespace {

constexpr clock::time_point kStart{ 1h };

/// Keeps the newest listener for each server, and who was asked last.
class recording_opener final : public proxy::link_opener
{
public:
  class link final : public proxy::upstream_link
  {
  public:
    link(recording_opener& aOpener, std::string aServer)
      : mOpener(aOpener)
      , mServer(std::move(aServer))
    {
    }

    void Send(const std::vector<proxy::command>& /*aCommands*/) override
    {
      mOpener.asked = mServer;
    }

  private:
    recording_opener& mOpener;
    std::string mServer;
  };

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path&,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    listeners[aServer.id] = &aListener;
    return std::make_unique<link>(*this, aServer.id);
  }

  std::map<std::string, proxy::link_listener*> listeners;
  std::string asked;
};

/// What the servers do with one read, in turn.
enum class server_behavior
{
  kBusy,
  kLagging,
  kFailed,
  kConnectionLost,
  /// No server takes it: its time to wait passes.
  kNotDispatched,
};

struct refusal_row
{
  const char* name;
  std::vector<server_behavior> behaviors;
  failure_code expected;
};

const refusal_row kRows[] = {
  { "no server had it",
    { server_behavior::kNotDispatched },
    failure_code::kBusy },
  { "servers said that they had not run it",
    { server_behavior::kLagging, server_behavior::kBusy },
    failure_code::kBusy },
  { "a server ran it in vain",
    { server_behavior::kFailed },
    failure_code::kFailed },
  { "a server may have run it",
    { server_behavior::kConnectionLost },
    failure_code::kFailed },
  { "one may have run it, another had not",
    { server_behavior::kConnectionLost, server_behavior::kBusy },
    failure_code::kFailed },
};

/// A VM before three servers, and one caller's read.
class one_read
{
public:
  explicit one_read(bool aReachesServers)
    : engine({ "vm-1", "north", 100000ms }, mOpener, mHost)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    made->services["claims"] = { "claims", 3 };
    proxy::route route;
    route.name = "claims-read";
    route.database = route.name;
    route.service = "claims";
    route.policy = proxy::read_policy::kBoundedStaleness;
    route.maxStaleness = 5000ms;
    made->routes[route.name] = std::make_shared<proxy::route>(route);
    engine.SetConfiguration(std::move(made), now);
    engine.SetFleet({ { "vm-1", "north", "10.0.0.1", 1, false } }, now);
    std::vector<proxy::server> servers;
    for (const char* id : { "a", "b", "c" }) {
      proxy::server listed;
      listed.id = id;
      listed.service = "claims";
      listed.failureDomain = "north";
      servers.push_back(listed);
    }
    engine.SetServers(servers, now);
    engine.Tick(now);
    engine.Confirm("claims", { 1, "a", now }, now);
    engine.AddSample("claims", { 1, { 1, 5 }, now });
    Pass(1000ms);
    for (const auto& [id, listener] : mOpener.listeners) {
      if (aReachesServers) {
        listener->Opened(position::log_position{ 1, 5 }, now);
      }
    }
    const auto session = engine.Open("claims-read", caller);
    proxy::session_statement asked;
    asked.kind = proxy::statement_kind::kRead;
    asked.id = "id-1";
    asked.text = "READ 1";
    engine.Submit(*session, asked, now);
  }

  void Pass(std::chrono::milliseconds aSpan)
  {
    now += aSpan;
    engine.Tick(now);
  }

  /// Lets the next server that has the read do that with it.
  void Do(server_behavior aBehavior)
  {
    if (aBehavior == server_behavior::kNotDispatched) {
      Pass(5000ms);
      return;
    }
    proxy::answer made;
    made.position = position::log_position{ 1, 5 };
    made.failed =
      proxy::failure{ aBehavior == server_behavior::kBusy ? failure_code::kBusy
                      : aBehavior == server_behavior::kLagging
                        ? failure_code::kLagging
                        : failure_code::kFailed,
                      "" };
    if (mOpener.asked.empty()) {
      return;
    }
    auto* listener = mOpener.listeners.at(std::exchange(mOpener.asked, {}));
    if (aBehavior == server_behavior::kConnectionLost) {
      listener->Ended(proxy::link_close_reason::kBroken, now);
    } else {
      listener->Answered(made, now);
    }
  }

  recording_caller caller;

private:
  recording_opener mOpener;
  test::null_host mHost;

public:
  clock::time_point now = kStart;
  proxy::engine engine;
};

} // namespace

TEST_GROUP(refusals_of_reads){};

TEST(refusals_of_reads, say_that_nothing_ran_only_where_it_is_known)
{
  for (const auto& row : kRows) {
    one_read read(row.behaviors.front() != server_behavior::kNotDispatched);
    for (const auto one : row.behaviors) {
      read.Do(one);
    }
    // From then on it is turned away, until no more tries are made.
    for (int i = 0; i < 40 && !read.caller.lastAnswer; ++i) {
      read.Do(server_behavior::kBusy);
      read.Pass(50ms);
    }
    CHECK_TEXT(read.caller.lastAnswer && read.caller.lastAnswer->failed,
               row.name);
    CHECK_TEXT(read.caller.lastAnswer->failed->code == row.expected, row.name);
  }
}
