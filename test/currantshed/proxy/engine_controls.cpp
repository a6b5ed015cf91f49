#include "currantshed/proxy/engine.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "test/currantshed/proxy/idle_link.hpp"
#include "test/currantshed/proxy/null_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::control_result;
using proxy::path;

namespace {

constexpr clock::time_point kStart{ 1h };

/// Keeps the listeners of the links that were opened, direct ones apart.
class recording_opener final : public proxy::link_opener
{
public:
  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server&,
    const path& aVia,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    (aVia.IsDirect() ? direct : relayed).push_back(&aListener);
    return std::make_unique<test::idle_link>();
  }

  std::vector<proxy::link_listener*> direct;
  std::vector<proxy::link_listener*> relayed;
};

/// One VM that holds no connections to the only server, beside two that do.
class one_vm
{
public:
  one_vm()
    : engine({ "vm-3", "north" }, opener, host)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    made->services["claims"] = { "claims", 8 };
    engine.SetConfiguration(std::move(made), kStart);
    proxy::server listed;
    listed.id = "i-1";
    listed.service = "claims";
    listed.failureDomain = "north";
    engine.SetServers({ listed }, kStart);
    std::vector<proxy::fleet_vm> fleet;
    for (const char* name : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
      fleet.push_back({ name, name, "10.0.0.1", 7442, false });
    }
    fleet[2].draining = true;
    engine.SetFleet(fleet, kStart);
  }

  void Ask(bool aDirect)
  {
    proxy::command question;
    question.kind = proxy::command_kind::kReport;
    engine.SendControl(
      "i-1",
      question,
      aDirect,
      300ms,
      [this](const control_result& aResult) { results.push_back(aResult); },
      kStart);
  }

  test::null_host host;
  recording_opener opener;
  proxy::engine engine;
  std::vector<control_result> results;
};

struct answer_row
{
  const char* name;
  bool hasPosition;
  bool answered;
};

constexpr answer_row kAnswerRows[] = {
  { "a refusal of the server", true, true },
  { "a refusal of the VM on the way says nothing of the server", false, false },
};

} // namespace

TEST_GROUP(engine_controls){};

TEST(engine_controls, only_an_answer_of_the_server_itself_counts)
{
  for (const auto& row : kAnswerRows) {
    one_vm made;
    made.Ask(false);
    CHECK_EQUAL(1U, made.opener.relayed.size());
    auto& link = *made.opener.relayed.front();
    link.Opened(std::nullopt, kStart);
    proxy::answer busy;
    busy.failed = proxy::failure{ proxy::failure_code::kBusy, "" };
    if (row.hasPosition) {
      busy.position = position::log_position{ 1, 7 };
    }
    link.Answered(busy, kStart + 5ms);
    CHECK_EQUAL(1U, made.results.size());
    CHECK_TEXT(made.results.front().answered == row.answered, row.name);
    CHECK_TEXT(made.engine.LastContactAt("i-1").has_value() == row.answered,
               row.name);
  }
}

TEST(engine_controls, a_failed_relay_ends_no_direct_control_command)
{
  one_vm made;
  made.Ask(true);
  made.Ask(false);
  CHECK_EQUAL(1U, made.opener.relayed.size());
  CHECK_EQUAL(1U, made.opener.direct.size());
  made.opener.relayed.front()->Ended(proxy::link_close_reason::kUnreachable,
                                     kStart);
  CHECK_EQUAL(1U, made.results.size());
  made.opener.direct.front()->Opened(std::nullopt, kStart);
  made.opener.direct.front()->Answered({}, kStart + 5ms);
  CHECK_EQUAL(2U, made.results.size());
  CHECK(made.results.back().answered);
}
