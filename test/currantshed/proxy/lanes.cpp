#include "currantshed/proxy/lanes.hpp"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using proxy::blocked_lanes;

namespace {

class deaf_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& /*aAnswer*/) override {}
  void Close() override {}
};

enum class wants
{
  kPrimary,
  kReadWithoutFloor,
  kRead,
  kRelayToA,
  kRelayToB,
};

std::unique_ptr<proxy::session>
Waiting(wants aWhat, proxy::caller& aCaller)
{
  auto made = std::make_unique<proxy::session>(1, "database", aCaller);
  proxy::request request;
  request.needsPrimary = aWhat == wants::kPrimary;
  if (aWhat == wants::kRead) {
    request.floor.position = position::log_position{ 1, 1 };
  }
  made->current = request;
  if (aWhat == wants::kRelayToA || aWhat == wants::kRelayToB) {
    made->relaysTo = aWhat == wants::kRelayToA ? "a" : "b";
  }
  return made;
}

struct lane_row
{
  const char* name;
  std::vector<wants> foundNothing;
  wants next;
  bool isHeld;
};

const lane_row kRows[] = {
  { "nothing was tried", {}, wants::kRead, false },
  { "the primary has no connection",
    { wants::kPrimary },
    wants::kPrimary,
    true },
  { "nor for a read that only it can serve",
    { wants::kPrimary },
    wants::kReadWithoutFloor,
    true },
  { "a replica may have one", { wants::kPrimary }, wants::kRead, false },
  { "one read says little of the next",
    { wants::kRead, wants::kRead, wants::kRead },
    wants::kRead,
    false },
  { "four reads say enough",
    { wants::kRead, wants::kRead, wants::kRead, wants::kRead },
    wants::kRead,
    true },
  { "a relay to the same server",
    { wants::kRelayToA },
    wants::kRelayToA,
    true },
  { "a relay to another server",
    { wants::kRelayToA },
    wants::kRelayToB,
    false },
  { "a relay holds up no caller of this VM",
    { wants::kRelayToA },
    wants::kRead,
    false },
};

} // namespace

TEST_GROUP(blocked_lanes){};

TEST(blocked_lanes, holds_up_those_alone_that_need_the_same_servers)
{
  for (const auto& row : kRows) {
    deaf_caller caller;
    blocked_lanes blocked;
    for (const auto one : row.foundNothing) {
      blocked.Add(*Waiting(one, caller));
    }
    CHECK_EQUAL_TEXT(
      row.isHeld, blocked.Holds(*Waiting(row.next, caller)), row.name);
  }
}
