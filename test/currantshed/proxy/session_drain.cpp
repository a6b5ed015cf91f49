#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using test::one_vm;

namespace {

class sending_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& /*aAnswer*/) override {}
  void Close() override { isClosed = true; }
  [[nodiscard]] bool HasUnread() const override { return hasSent; }

  bool hasSent = false;
  bool isClosed = false;
};

struct end_row
{
  const char* name;
  bool hasSent;
  bool isClosed;
};

constexpr end_row kRows[] = {
  { "nothing sent", false, true },
  { "a request that was not read yet", true, false },
};

} // namespace

TEST_GROUP(session_drain){};

// A VM that stops closes idle sessions, but none whose request has come.
TEST(session_drain, closes_idle_sessions_without_unread_requests)
{
  for (const auto& row : kRows) {
    one_vm vm;
    sending_caller caller;
    CHECK_TEXT(vm.engine.Open("claims", caller).has_value(), row.name);
    caller.hasSent = row.hasSent;
    vm.engine.Drain();
    CHECK_EQUAL_TEXT(row.isClosed, caller.isClosed, row.name);
  }
}
