#include "currantshed/proxy/blocked_queues.hpp"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using proxy::blocked_queues;

namespace {

class null_caller final : public proxy::caller
{
public:
  void Deliver(const proxy::answer& /*aAnswer*/) override {}
  void Close() override {}
};

enum class target
{
  kPrimary,
  kReadWithoutFloor,
  kRead,
  kRelayToA,
  kRelayToB,
};

std::unique_ptr<proxy::session>
Waiting(target aWhat, proxy::caller& aCaller)
{
  auto made = std::make_unique<proxy::session>(1, "database", aCaller);
  proxy::request request;
  request.needsPrimary = aWhat == target::kPrimary;
  if (aWhat == target::kRead) {
    request.floor.position = position::log_position{ 1, 1 };
  }
  made->current = request;
  if (aWhat == target::kRelayToA || aWhat == target::kRelayToB) {
    made->relayTarget = aWhat == target::kRelayToA ? "a" : "b";
  }
  return made;
}

struct blocked_row
{
  const char* name;
  std::vector<target> unserved;
  target next;
  bool isBlocked;
};

const blocked_row kRows[] = {
  { "no request was tried", {}, target::kRead, false },
  { "the primary has no connection",
    { target::kPrimary },
    target::kPrimary,
    true },
  { "a read that only the primary can serve",
    { target::kPrimary },
    target::kReadWithoutFloor,
    true },
  { "a read that leaves the primary alone does not block a write",
    { target::kReadWithoutFloor },
    target::kPrimary,
    false },
  { "a read that leaves the primary alone blocks the next such",
    { target::kReadWithoutFloor },
    target::kReadWithoutFloor,
    true },
  { "a read that a replica may serve",
    { target::kPrimary },
    target::kRead,
    false },
  { "three reads do not block the next",
    { target::kRead, target::kRead, target::kRead },
    target::kRead,
    false },
  { "four reads block the next",
    { target::kRead, target::kRead, target::kRead, target::kRead },
    target::kRead,
    true },
  { "a relayed request to the same server",
    { target::kRelayToA },
    target::kRelayToA,
    true },
  { "a relayed request to another server",
    { target::kRelayToA },
    target::kRelayToB,
    false },
  { "a relayed request does not block callers of this VM",
    { target::kRelayToA },
    target::kRead,
    false },
};

} // namespace

TEST_GROUP(blocked_queues){};

TEST(blocked_queues, blocks_only_requests_for_the_same_servers)
{
  for (const auto& row : kRows) {
    null_caller caller;
    blocked_queues blocked;
    for (const auto one : row.unserved) {
      blocked.Add(*Waiting(one, caller));
    }
    CHECK_EQUAL_TEXT(
      row.isBlocked, blocked.IsBlocked(*Waiting(row.next, caller)), row.name);
  }
}
