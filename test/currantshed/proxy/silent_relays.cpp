#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/null_host.hpp"
#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace currantshed::test;

namespace {

/// Other VMs that work goes through. Those that are silent take everything and
/// answer nothing.
class relaying_vms final : public proxy::link_opener
{
public:
  class link final : public proxy::upstream_link
  {
  public:
    link(relaying_vms& aVms, std::string aVia, proxy::link_listener& aListener)
      : mVms(aVms)
      , mVia(std::move(aVia))
      , mListener(&aListener)
    {
    }

    void Send(const std::vector<proxy::command>& aCommands) override
    {
      for (const auto& one : aCommands) {
        if (one.kind != proxy::command_kind::kReport) {
          mVms.sent[mVia].push_back(one.text);
          mVms.owed.push_back({ mVia, mListener });
        }
      }
    }

  private:
    relaying_vms& mVms;
    std::string mVia;
    proxy::link_listener* mListener;
  };

  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& aServer,
    const proxy::path& aVia,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    opened[aServer.id].push_back(aVia.vm);
    opening.push_back({ aVia.vm, &aListener });
    return std::make_unique<link>(*this, aVia.vm, aListener);
  }

  struct waiting
  {
    std::string via;
    proxy::link_listener* listener;
  };

  std::string silent;
  std::vector<waiting> opening;
  std::vector<waiting> owed;
  /// The ways taken, by server.
  std::map<std::string, std::vector<std::string>> opened;
  std::map<std::string, std::vector<std::string>> sent;
};

/// A VM among forty of its failure domain, of which two hold connections to
/// each server.
class non_delegate_vm
{
public:
  non_delegate_vm()
    : engine({ "vm-1", "north", 100000ms }, vms, mHost)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    made->services["claims"] = { "claims", 9 };
    proxy::route route;
    route.name = "claims";
    route.database = route.name;
    route.service = "claims";
    route.policy = proxy::read_policy::kPrimary;
    route.statementTimeout = 5000ms;
    route.target = 4000ms;
    made->routes[route.name] = std::make_shared<proxy::route>(route);
    engine.SetConfiguration(std::move(made), now);
    std::vector<proxy::fleet_vm> fleet;
    for (int i = 1; i <= 40; ++i) {
      const auto number = std::to_string(i);
      fleet.push_back({ "vm-" + number, "north", "10.0.0." + number, 1 });
      fleet.back().isDelegate = i == 2 || i == 3;
    }
    engine.SetFleet(std::move(fleet), now);
    proxy::server listed;
    listed.id = "a";
    listed.service = "claims";
    listed.failureDomain = "north";
    engine.SetServers({ listed }, now);
    engine.Confirm("claims", { 1, "a", now }, now);
    session = *engine.Open("claims", caller);
  }

  void Ask(proxy::statement_kind aKind, const std::string& aText)
  {
    proxy::session_statement asked;
    asked.kind = aKind;
    asked.id = "id-1";
    asked.text = aText;
    caller.lastAnswer.reset();
    engine.Submit(session, asked, now);
  }

  void Pass(std::chrono::milliseconds aSpan)
  {
    for (const auto end = now + aSpan; now < end; now += 10ms) {
      engine.Confirm("claims", { 1, "a", now }, now);
      engine.Tick(now);
      for (const auto& one : std::exchange(vms.opening, {})) {
        if (one.via != vms.silent) {
          one.listener->Opened(std::nullopt, now);
        } else {
          vms.opening.push_back(one);
        }
      }
      for (const auto& one : std::exchange(vms.owed, {})) {
        if (one.via != vms.silent) {
          proxy::answer made;
          made.signature = "signed";
          made.position = position::log_position{ 1, 5 };
          one.listener->Answered(std::move(made), now);
        }
      }
    }
  }

  relaying_vms vms;
  recording_caller caller;
  clock::time_point now = kStart;
  proxy::engine::session_id session = 0;

private:
  null_host mHost;

public:
  proxy::engine engine;
};

} // namespace

TEST_GROUP(silent_relays){};

TEST(silent_relays, later_reads_avoid_a_silent_relay)
{
  non_delegate_vm made;
  made.Ask(proxy::statement_kind::kRead, "READ 1");
  made.Pass(100ms);
  CHECK(made.caller.lastAnswer.has_value());
  const auto first = made.vms.opened["a"].front();
  CHECK(!first.empty());
  made.vms.silent = first;
  made.Ask(proxy::statement_kind::kRead, "READ 2");
  made.Pass(800ms);
  CHECK(made.caller.lastAnswer.has_value());
  CHECK_FALSE(made.caller.lastAnswer->failed.has_value());
  const auto lost = made.vms.sent[first].size();
  made.Ask(proxy::statement_kind::kRead, "READ 3");
  made.Pass(100ms);
  CHECK(made.caller.lastAnswer.has_value());
  CHECK_EQUAL(lost, made.vms.sent[first].size());
}

TEST(silent_relays, a_write_under_way_is_not_sent_again)
{
  non_delegate_vm made;
  made.Ask(proxy::statement_kind::kRead, "READ 1");
  made.Pass(100ms);
  const auto first = made.vms.opened["a"].front();
  made.vms.silent = first;
  made.Ask(proxy::statement_kind::kWrite, "WRITE 1 x");
  made.Pass(2000ms);
  CHECK_FALSE(made.caller.lastAnswer.has_value());
  for (const auto& [via, texts] : made.vms.sent) {
    for (const auto& text : texts) {
      CHECK(via == first || text != "WRITE 1 x");
    }
  }
}
