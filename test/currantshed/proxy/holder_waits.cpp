#include <chrono>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/idle_link.hpp"
#include "test/currantshed/proxy/null_host.hpp"
#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::failure_code;
using proxy::request_attributes;
using proxy::statement_kind;
using test::kStart;

namespace {

constexpr auto kFar =
  std::chrono::milliseconds{ std::numeric_limits<std::int64_t>::max() };

/// Links that stay closed until the test opens them.
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

/// The VM that uses the relay.
class other_vm final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& aAnswer) override
  {
    lastAnswer = aAnswer;
    ++answers;
  }
  void Close() override { isClosed = true; }

  std::optional<proxy::answer> lastAnswer;
  unsigned answers = 0;
  bool isClosed = false;
};

/// A holder without an open connection to its server, and a request that waits.
class holder
{
public:
  holder()
    : engine({ "vm-1", "north" }, opener, mHost)
  {
    engine.SetFleet({ { "vm-1", "north", "10.0.0.1", 1, false } }, kStart);
    proxy::server listed;
    listed.id = "i-1";
    listed.service = "claims";
    listed.failureDomain = "north";
    engine.SetServers({ listed }, kStart);
    engine.Tick(kStart);
  }

  void Ask(statement_kind aKind,
           const std::optional<request_attributes>& aAttributes)
  {
    const auto session = engine.OpenRelay("i-1", other);
    proxy::session_statement asked;
    asked.kind = aKind;
    asked.attributes = aAttributes;
    engine.Submit(*session, asked, kStart);
  }

  one_link_opener opener;
  other_vm other;

private:
  test::null_host mHost;

public:
  proxy::engine engine;
};

struct wait_row
{
  const char* name;
  std::optional<request_attributes> attributes;
  std::chrono::milliseconds wait;
};

const wait_row kWaitRows[] = {
  { "of an older build", std::nullopt, 75ms },
  { "a target of 200 ms", request_attributes{ 0, 200ms, 900ms }, 60ms },
  { "a target of 1.5 s", request_attributes{ 2, 1500ms, 3s }, 150ms },
  { "40 ms left until the target", request_attributes{ 0, 40ms, 900ms }, 12ms },
  { "past its target", request_attributes{ 0, -5ms, 900ms }, 150ms },
  { "20 ms left until its deadline",
    request_attributes{ 0, -5ms, 20ms },
    20ms },
  { "times out of range", request_attributes{ 0, kFar, kFar }, 150ms },
};

struct outage_row
{
  const char* name;
  statement_kind kind;
  bool hasAttributes;
};

const outage_row kOutageRows[] = {
  { "a write", statement_kind::kWrite, true },
  { "a read", statement_kind::kRead, true },
  { "the beginning of a transaction", statement_kind::kBegin, true },
  { "older build, a write", statement_kind::kWrite, false },
  { "older build, a read", statement_kind::kRead, false },
};

} // namespace

TEST_GROUP(holder_waits){};

TEST(holder_waits, a_relayed_request_waits_as_long_as_its_sender_can)
{
  for (const auto& row : kWaitRows) {
    holder one;
    one.Ask(statement_kind::kRead, row.attributes);
    one.engine.Tick(kStart + row.wait - 1ms);
    CHECK_TEXT(!one.other.lastAnswer, row.name);
    one.engine.Tick(kStart + row.wait);
    CHECK_TEXT(one.other.lastAnswer.has_value(), row.name);
    CHECK_TEXT(one.other.lastAnswer->failed->code == failure_code::kBusy,
               row.name);
  }
}

// A holder has lost the server. A write that was not sent was taken for one
// that may have run. A VM that sends attributes is told once that the request
// has not run, and keeps its link; the link of one that sends none closes, as
// it expects.
TEST(holder_waits, a_request_that_was_not_sent_is_said_to_be_so)
{
  for (const auto& row : kOutageRows) {
    holder one;
    one.opener.listener->Ended(proxy::link_close_reason::kUnreachable, kStart);
    one.Ask(row.kind,
            row.hasAttributes
              ? std::optional(request_attributes{ 0, 200ms, 900ms })
              : std::nullopt);
    CHECK_EQUAL_TEXT(row.hasAttributes ? 1U : 0U, one.other.answers, row.name);
    CHECK_EQUAL_TEXT(!row.hasAttributes, one.other.isClosed, row.name);
    if (row.hasAttributes) {
      const auto& why = *one.other.lastAnswer->failed;
      CHECK_TEXT(why.code == failure_code::kBusy, row.name);
      CHECK_TEXT(why.text == proxy::kServerUnreachable, row.name);
    }
  }
}

// Statements within a transaction use its connection, and are no retries.
TEST(holder_waits, a_statement_within_a_transaction_has_no_earlier_tries)
{
  test::one_vm vm;
  test::recording_caller caller;
  const auto session = *vm.engine.Open("claims", caller);
  proxy::session_statement asked;
  asked.kind = statement_kind::kBegin;
  vm.engine.Submit(session, asked, vm.now);
  for (int i = 0; i < 2; ++i) {
    asked.kind = statement_kind::kWrite;
    asked.text = "WRITE a b";
    vm.engine.Submit(session, asked, vm.now);
    for (int step = 0; step < 2 && vm.servers.last.text != asked.text; ++step) {
      vm.servers.listeners["a"]->Answered({}, vm.now);
    }
    CHECK(vm.servers.last.attributes.has_value());
    LONGS_EQUAL(0, vm.servers.last.attributes->tries);
    proxy::answer made;
    made.signature = "signed";
    vm.servers.listeners["a"]->Answered(made, vm.now);
    vm.servers.last = {};
  }
}

// A strict class whose statements take longer than the part of its target that
// a holder has was taken for late, and sent after all lenient requests. These
// made its statements take longer still, so that it stayed so.
TEST(holder_waits, a_strict_request_is_not_late_while_its_target_can_be_met)
{
  constexpr auto kServiceTime = 80ms;
  test::one_vm vm;
  other_vm others[3];
  std::vector<proxy::engine::session_id> sessions;
  for (auto& other : others) {
    sessions.push_back(*vm.engine.OpenRelay("b", other));
  }
  const auto ask = [&](std::size_t aSession,
                       const std::string& aText,
                       const request_attributes& aAttributes) {
    proxy::session_statement asked;
    asked.kind = statement_kind::kRead;
    asked.text = aText;
    asked.attributes = aAttributes;
    vm.engine.Submit(sessions[aSession], asked, vm.now);
  };
  const request_attributes strict{ 0, 200ms, 900ms };
  const request_attributes lenient{ 2, 1500ms, 3s };
  auto* open = vm.servers.listeners["b"];
  ask(0, "READ first", strict);
  vm.AdvanceTime(kServiceTime);
  open->Answered({}, vm.now);
  ask(0, "READ second", strict);
  ask(1, "READ lenient", lenient);
  ask(2, "READ strict", strict);
  STRCMP_EQUAL("READ second", vm.servers.last.text.c_str());
  open->Answered({}, vm.now);
  STRCMP_EQUAL("READ strict", vm.servers.last.text.c_str());
}
