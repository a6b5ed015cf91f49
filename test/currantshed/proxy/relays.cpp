#include <chrono>
#include <memory>
#include <optional>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/idle_link.hpp"
#include "test/currantshed/proxy/null_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kStart{ 1h };

/// Keeps the listener of the only link.
class one_link_opener final : public proxy::link_opener
{
public:
  std::unique_ptr<proxy::upstream_link> Open(
    const proxy::server& /*aServer*/,
    const proxy::path& /*aVia*/,
    const std::string& /*aCustomer*/,
    proxy::link_listener& aListener) override
  {
    listener = &aListener;
    return std::make_unique<test::idle_link>();
  }

  proxy::link_listener* listener = nullptr;
};

/// Another VM's side of a relay.
class other_vm final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& aAnswer) override { lastAnswer = aAnswer; }
  void Close() override {}

  std::optional<proxy::answer> lastAnswer;
};

} // namespace

TEST_GROUP(relays){};

TEST(relays, serve_other_vms_before_the_configuration_is_known)
{
  one_link_opener opener;
  test::null_host host;
  other_vm other;
  proxy::engine engine({ "vm-1", "north" }, opener, host);
  engine.SetFleet({ { "vm-1", "north", "10.0.0.1", 1, false } }, kStart);
  proxy::server listed;
  listed.id = "i-1";
  listed.service = "claims";
  listed.failureDomain = "north";
  engine.SetServers({ listed }, kStart);
  engine.Tick(kStart);
  CHECK(opener.listener != nullptr);
  opener.listener->Opened(position::log_position{ 1, 1 }, kStart);
  const auto session = engine.OpenRelay("i-1", other);
  CHECK(session.has_value());
  proxy::session_statement begin;
  begin.kind = proxy::statement_kind::kBegin;
  engine.Submit(*session, begin, kStart);
  opener.listener->Answered({}, kStart);
  CHECK(other.lastAnswer.has_value());
  CHECK(engine.StateOf(*session) == proxy::transaction_state::kOpen);
  // Nor does the end of an idle transaction need one.
  engine.Tick(kStart + 60s);
  CHECK(engine.StateOf(*session) == proxy::transaction_state::kIdle);
}
