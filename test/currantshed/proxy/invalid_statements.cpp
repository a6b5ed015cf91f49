#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;

namespace {

class listing_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& aAnswer) override
  {
    answers.push_back(aAnswer);
  }
  void Close() override {}

  std::vector<proxy::answer> answers;
};

} // namespace

TEST_GROUP(invalid_statements){};

// The rejection of an invalid statement was sent at once, and so could be taken
// for the answer to the statement before it.
TEST(invalid_statements, are_answered_after_the_statements_before_them)
{
  test::one_vm vm;
  listing_caller caller;
  const auto session = vm.engine.Open("claims-read", caller, {});
  CHECK(session.has_value());
  vm.Ask(*session, proxy::statement_kind::kRead, "READ x");
  vm.Ask(*session, proxy::statement_kind::kInvalid, "why");
  CHECK(caller.answers.empty());
  for (const auto& [server, listener] : vm.servers.listeners) {
    if (vm.WasSentWork(server)) {
      proxy::answer read;
      read.signature = "7.1f";
      read.position = position::log_position{ 1, 5 };
      listener->Answered(read, vm.now);
    }
  }
  LONGS_EQUAL(2, caller.answers.size());
  CHECK(caller.answers[0].signature == "7.1f");
  CHECK(caller.answers[1].failed->code == proxy::failure_code::kMalformed);
  CHECK(caller.answers[1].failed->text == "why");
}

TEST(invalid_statements, leave_the_session_as_it_is)
{
  test::one_vm vm;
  listing_caller caller;
  const auto session = vm.engine.Open("claims", caller, {});
  vm.Ask(*session, proxy::statement_kind::kBegin, "BEGIN");
  vm.Ask(*session, proxy::statement_kind::kInvalid, "why");
  LONGS_EQUAL(2, caller.answers.size());
  CHECK(caller.answers[1].state == proxy::transaction_state::kOpen);
}
