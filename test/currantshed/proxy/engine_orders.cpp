#include "currantshed/proxy/engine.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "test/currantshed/proxy/idle_link.hpp"
#include "test/currantshed/proxy/silent_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::order_result;
using proxy::path;

namespace {

constexpr clock::time_point kStart{ 1h };

/// Records the listeners of opened links, direct and relayed ones separately.
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

/// A draining VM without connections to the only server, in a fleet with other
/// connection holders.
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
    fleet[2].leaving = true;
    engine.SetFleet(fleet, kStart);
  }

  void Ask(bool aDirect)
  {
    proxy::command question;
    question.kind = proxy::command_kind::kReport;
    engine.Order(
      "i-1",
      question,
      aDirect,
      300ms,
      [this](const order_result& aResult) { results.push_back(aResult); },
      kStart);
  }

  test::silent_host host;
  recording_opener opener;
  proxy::engine engine;
  std::vector<order_result> results;
};

struct word_row
{
  const char* name;
  bool hasPosition;
  bool answered;
};

constexpr word_row kWordRows[] = {
  { "a rejection by the server", true, true },
  { "a rejection by the relay says nothing about the server", false, false },
};

} // namespace

TEST_GROUP(engine_orders){};

TEST(engine_orders, only_the_servers_own_word_counts_as_an_answer)
{
  for (const auto& row : kWordRows) {
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
    CHECK_TEXT(made.engine.HeardAt("i-1").has_value() == row.answered,
               row.name);
  }
}

TEST(engine_orders, a_way_that_fails_ends_no_order_that_goes_directly)
{
  one_vm made;
  made.Ask(true);
  made.Ask(false);
  CHECK_EQUAL(1U, made.opener.relayed.size());
  CHECK_EQUAL(1U, made.opener.direct.size());
  made.opener.relayed.front()->Ended(proxy::link_end::kUnreachable, kStart);
  CHECK_EQUAL(1U, made.results.size());
  made.opener.direct.front()->Opened(std::nullopt, kStart);
  made.opener.direct.front()->Answered({}, kStart + 5ms);
  CHECK_EQUAL(2U, made.results.size());
  CHECK(made.results.back().answered);
}
