#ifndef CURRANTSHED_TEST_PROXY_ONE_VM_HPP
#define CURRANTSHED_TEST_PROXY_ONE_VM_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/null_host.hpp"

namespace currantshed::test {

using namespace std::chrono_literals;
using proxy::command_kind;

inline constexpr clock::time_point kStart{ 1h };

/// Servers that take connections at once, and keep what they are sent.
class recording_servers final : public proxy::link_opener
{
public:
  class link final : public proxy::upstream_link
  {
  public:
    link(recording_servers& aServers, std::string aServer)
      : mServers(aServers)
      , mServer(std::move(aServer))
      , mNumber(aServers.opened)
    {
    }

    void Send(const std::vector<proxy::command>& aCommands) override
    {
      mServers.lastUsed = mNumber;
      for (const auto& one : aCommands) {
        mServers.sent[mServer].push_back(one.kind);
        mServers.last = one;
      }
    }

  private:
    recording_servers& mServers;
    std::string mServer;
    int mNumber;
  };

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path&,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    opening.push_back(&aListener);
    ++opened;
    listeners[aServer.id] = &aListener;
    return std::make_unique<link>(*this, aServer.id);
  }

  std::vector<proxy::link_listener*> opening;
  /// Connections are numbered as they are opened.
  int opened = 0;
  /// The command that was sent last.
  proxy::command last;
  /// The connection that commands were sent on last.
  int lastUsed = 0;
  std::map<std::string, proxy::link_listener*> listeners;
  std::map<std::string, std::vector<command_kind>> sent;
};

class recording_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& aAnswer) override { lastAnswer = aAnswer; }
  void Close() override {}

  std::optional<proxy::answer> lastAnswer;
};

/// One VM before a group whose primary is "a".
class one_vm
{
public:
  one_vm()
    : engine({ "vm-1", "north", 100000ms }, servers, mHost)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    made->services["claims"] = { "claims", 9 };
    proxy::route route;
    route.name = "claims";
    route.database = route.name;
    route.service = "claims";
    route.policy = proxy::read_policy::kPrimary;
    made->routes[route.name] = std::make_shared<proxy::route>(route);
    route.name = "claims-read";
    route.database = route.name;
    route.policy = proxy::read_policy::kBoundedStaleness;
    route.maxStaleness = 5000ms;
    made->routes[route.name] = std::make_shared<proxy::route>(route);
    engine.SetConfiguration(std::move(made), now);
    engine.SetFleet({ { "vm-1", "north", "10.0.0.1", 1, false } }, now);
    List({ "a", "b" }, {});
    engine.Confirm("claims", { 1, "a", now }, now);
    engine.AddSample("claims", { 1, { 1, 5 }, now });
    Pass(300ms);
  }

  void List(const std::vector<std::string>& aServers,
            const std::vector<std::string>& aLeaving)
  {
    std::vector<proxy::server> listed;
    for (const auto& id : aServers) {
      proxy::server one;
      one.id = id;
      one.service = "claims";
      one.failureDomain = "north";
      one.draining =
        std::find(aLeaving.begin(), aLeaving.end(), id) != aLeaving.end();
      listed.push_back(one);
    }
    engine.SetServers(listed, now);
  }

  /// Lists both servers, one of them with its second start.
  void Restart(const std::string& aServer)
  {
    std::vector<proxy::server> listed;
    for (const char* id : { "a", "b" }) {
      proxy::server one;
      one.id = id;
      one.service = "claims";
      one.failureDomain = "north";
      one.startedAt = proxy::start_time{ id == aServer ? 2000ms : 0ms };
      listed.push_back(one);
    }
    engine.SetServers(listed, now);
  }

  void Pass(std::chrono::milliseconds aSpan)
  {
    for (const auto end = now + aSpan; now < end; now += 50ms) {
      engine.Tick(now);
      for (auto* one : std::exchange(servers.opening, {})) {
        one->Opened(opensAt, now);
      }
    }
  }

  void Ask(proxy::engine::session_id aSession,
           proxy::statement_kind aKind,
           const std::string& aText)
  {
    proxy::session_statement asked;
    asked.kind = aKind;
    asked.id = "id-1";
    asked.text = aText;
    asked.name = "shop";
    asked.argument = "7";
    engine.Submit(aSession, asked, now);
  }

  /// Whether the server was sent a caller's statement or a transaction.
  [[nodiscard]] bool HasWork(const std::string& aServer) const
  {
    const auto found = servers.sent.find(aServer);
    return found != servers.sent.end() &&
           std::any_of(
             found->second.begin(), found->second.end(), [](command_kind aOne) {
               return aOne != command_kind::kSet &&
                      aOne != command_kind::kReset;
             });
  }

  recording_servers servers;
  /// Where servers' logs stand as connections open.
  position::log_position opensAt{ 1, 5 };
  clock::time_point now = kStart;

private:
  null_host mHost;

public:
  proxy::engine engine;
};

} // namespace currantshed::test

#endif
