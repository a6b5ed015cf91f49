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
  { "no request was tried", {}, wants::kRead, false },
  { "the primary has no connection",
    { wants::kPrimary },
    wants::kPrimary,
    true },
  { "a read that only the primary can serve",
    { wants::kPrimary },
    wants::kReadWithoutFloor,
    true },
  { "a read that a replica may serve",
    { wants::kPrimary },
    wants::kRead,
    false },
  { "three reads do not block the next",
    { wants::kRead, wants::kRead, wants::kRead },
    wants::kRead,
    false },
  { "four reads block the next",
    { wants::kRead, wants::kRead, wants::kRead, wants::kRead },
    wants::kRead,
    true },
  { "a relayed request to the same server",
    { wants::kRelayToA },
    wants::kRelayToA,
    true },
  { "a relayed request to another server",
    { wants::kRelayToA },
    wants::kRelayToB,
    false },
  { "a relayed request does not block callers of this VM",
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
