// What a connection holder answers while it can't reach a server. The
// requesting VM saw only a closed connection, took it for a broken path, and
// tried the same server through the next holder.
#include <chrono>
#include <string>

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using proxy::link_close_reason;

namespace {

/// A VM that uses the holder.
class requesting_vm final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& aAnswer) override { lastAnswer = aAnswer; }
  void Close() override { isClosed = true; }

  std::optional<proxy::answer> lastAnswer;
  bool isClosed = false;
};

enum class progress
{
  kArrivesAfterwards,
  kWaitsForConnection,
  kSent,
};

struct loss_row
{
  const char* name;
  progress when;
  bool hasAttributes;
  /// Whether it is answered, or its session closed.
  bool isAnswered;
};

const loss_row kRows[] = {
  { "arrives afterwards", progress::kArrivesAfterwards, true, true },
  { "waits for a connection", progress::kWaitsForConnection, true, true },
  { "has been sent", progress::kSent, true, false },
  { "older build, arrives afterwards",
    progress::kArrivesAfterwards,
    false,
    false },
  { "older build, waits for a connection",
    progress::kWaitsForConnection,
    false,
    false },
  { "older build, has been sent", progress::kSent, false, false },
};

proxy::session_statement
Read(bool aHasAttributes)
{
  proxy::session_statement made;
  made.kind = proxy::statement_kind::kRead;
  made.id = "id-1";
  made.text = "READ a";
  if (aHasAttributes) {
    made.attributes = proxy::request_attributes{ 0, 200ms, 800ms, 0, false };
  }
  return made;
}

} // namespace

TEST_GROUP(unreachable_servers){};

TEST(unreachable_servers, a_holder_answers_what_it_has_not_sent)
{
  for (const auto& row : kRows) {
    test::one_vm vm;
    requesting_vm first;
    requesting_vm second;
    const auto firstSession = *vm.engine.OpenRelay("b", first);
    const auto secondSession = *vm.engine.OpenRelay("b", second);
    auto* open = vm.servers.listeners["b"];
    auto& asked = row.when == progress::kSent ? first : second;
    if (row.when != progress::kArrivesAfterwards) {
      vm.engine.Submit(firstSession, Read(row.hasAttributes), vm.now);
    }
    if (row.when == progress::kWaitsForConnection) {
      vm.engine.Submit(secondSession, Read(row.hasAttributes), vm.now);
      CHECK_TEXT(vm.servers.listeners["b"] != open, row.name);
      vm.servers.listeners["b"]->Ended(link_close_reason::kUnreachable, vm.now);
    }
    open->Ended(link_close_reason::kBroken, vm.now);
    vm.engine.Tick(vm.now);
    if (row.when == progress::kArrivesAfterwards) {
      vm.engine.Submit(secondSession, Read(row.hasAttributes), vm.now);
    }
    CHECK_EQUAL_TEXT(row.isAnswered, asked.lastAnswer.has_value(), row.name);
    CHECK_EQUAL_TEXT(!row.isAnswered, asked.isClosed, row.name);
    if (row.isAnswered) {
      CHECK_TEXT(asked.lastAnswer->failed.has_value(), row.name);
      const auto& why = *asked.lastAnswer->failed;
      CHECK_TEXT(why.code == proxy::failure_code::kBusy, row.name);
      CHECK_TEXT(why.text == proxy::kServerUnreachable, row.name);
      CHECK_TEXT(asked.lastAnswer->load.has_value(), row.name);
    }
  }
}

// A relayed read is rejected by a replica that lags: the VM that asked, and all
// that use this holder afterwards, are told how far it is behind.
TEST(unreachable_servers, a_holder_reports_the_lag_of_a_replica)
{
  test::one_vm vm;
  vm.engine.AddSample("claims", { 1, { 1, 9 }, vm.now });
  vm.AdvanceTime(1000ms);
  requesting_vm other;
  const auto session = *vm.engine.OpenRelay("b", other);
  auto read = Read(true);
  read.floor = position::log_position{ 1, 9 };
  vm.engine.Submit(session, read, vm.now);
  proxy::answer lagging;
  lagging.failed = proxy::failure{ proxy::failure_code::kLagging, "" };
  lagging.position = position::log_position{ 1, 5 };
  vm.servers.listeners["b"]->Answered(lagging, vm.now);
  CHECK(other.lastAnswer.has_value());
  CHECK(other.lastAnswer->load.has_value());
  CHECK(other.lastAnswer->load->lag >= 1000ms);
}
