// An order to promote must not be sent after its VM has lost the failover lock.
#include "currantshed/node/failover_orders.hpp"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr clock::time_point kNow{ 1h };

struct right_row
{
  const char* name;
  node::order_right right;
  std::chrono::milliseconds timeLeft;
};

const right_row kRightRows[] = {
  { "the lock was checked just now", { kNow, kNow + 1700ms, true }, 1700ms },
  { "it waited briefly for its connection",
    { kNow - 299ms, kNow + 1700ms, true },
    1700ms },
  { "it waited behind an order that was not answered",
    { kNow - 1000ms, kNow + 1700ms, true },
    0ms },
  { "the lock is held by another VM, or the takeover was abandoned",
    { kNow, kNow + 1700ms, false },
    0ms },
  { "the order must end before the lease does",
    { kNow, kNow + 501ms, true },
    501ms },
  { "the lease ends before an answer can be expected",
    { kNow, kNow + 500ms, true },
    0ms },
  { "the lease has ended", { kNow, kNow - 200ms, true }, 0ms },
};

struct release_row
{
  const char* name;
  void (*given)(node::failover_orders&);
  bool releases;
  bool mayOrder;
};

const release_row kReleaseRows[] = {
  { "a running VM keeps its locks",
    [](node::failover_orders&) {},
    false,
    true },
  { "one order of a group at a time",
    [](node::failover_orders& aOrders) { aOrders.Begin("claims"); },
    false,
    false },
  { "another group's order does not matter",
    [](node::failover_orders& aOrders) { aOrders.Begin("orders"); },
    false,
    true },
  { "an answered order may be followed by another one",
    [](node::failover_orders& aOrders) {
      aOrders.Begin("claims");
      aOrders.End("claims");
    },
    false,
    true },
  { "a stopping VM without orders releases its locks",
    [](node::failover_orders& aOrders) { aOrders.Stop(); },
    true,
    false },
  { "a stopping VM waits for the answer",
    [](node::failover_orders& aOrders) {
      aOrders.Begin("orders");
      aOrders.Stop();
    },
    false,
    false },
  { "and releases its locks after it",
    [](node::failover_orders& aOrders) {
      aOrders.Begin("orders");
      aOrders.Stop();
      aOrders.End("orders");
    },
    true,
    false },
};

} // namespace

TEST_GROUP(failover_orders){};

TEST(failover_orders, are_not_sent_without_the_failover_lock)
{
  for (const auto& row : kRightRows) {
    CHECK_TEXT(node::OrderTimeLeft(row.right, kNow) == row.timeLeft, row.name);
  }
}

TEST(failover_orders, in_progress_keep_the_locks_of_a_stopping_vm)
{
  for (const auto& row : kReleaseRows) {
    node::failover_orders orders;
    row.given(orders);
    CHECK_EQUAL_TEXT(row.releases, orders.MayReleaseLocks(), row.name);
    CHECK_EQUAL_TEXT(row.mayOrder, orders.MayOrder("claims"), row.name);
  }
}
