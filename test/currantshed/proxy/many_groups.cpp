#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "currantshed/proxy/engine.hpp"

#include "test/currantshed/proxy/one_vm.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kServersOfGroup = 3;
constexpr std::size_t kConnections = 42;

std::string
GroupName(std::size_t aNumber)
{
  return "group-" + std::to_string(aNumber);
}

std::vector<proxy::fleet_vm>
Fleet(std::size_t aVms)
{
  std::vector<proxy::fleet_vm> fleet;
  for (std::size_t i = 0; i < aVms; ++i) {
    // One in ten is strong; the VM looked at is not.
    fleet.push_back({ "vm-" + std::to_string(i),
                      i % 2 == 0 ? "north" : "south",
                      "10.0.0.1",
                      7441,
                      false,
                      i % 10 == 9 });
  }
  return fleet;
}

/// One weak VM of a fleet before as many groups as there are VMs, of which its
/// callers use one.
class non_delegate_vm
{
public:
  explicit non_delegate_vm(std::size_t aSize)
    : mSize(aSize)
  {
    auto made = std::make_shared<proxy::configuration>();
    made->version = 1;
    for (std::size_t i = 0; i < aSize; ++i) {
      made->services[GroupName(i)] = { GroupName(i), kConnections };
    }
    proxy::route route;
    route.name = "reads";
    route.database = route.name;
    route.service = GroupName(0);
    route.policy = proxy::read_policy::kBoundedStaleness;
    route.maxStaleness = 5000ms;
    made->routes[route.name] = std::make_shared<proxy::route>(route);
    mEngine.SetConfiguration(std::move(made), mNow);
    mEngine.SetFleet(Fleet(aSize), mNow);
    mEngine.SetServers(Servers(), mNow);
    mEngine.Confirm(GroupName(0), { 1, "s-0-0", mNow }, mNow);
    mEngine.AddSample(GroupName(0), { 1, { 1, 5 }, mNow });
    mEngine.Tick(mNow);
  }

  void Ask()
  {
    const auto session = mEngine.Open("reads", mCaller);
    CHECK(session.has_value());
    proxy::session_statement asked;
    asked.kind = proxy::statement_kind::kRead;
    asked.id = "0123456789abcdef";
    asked.text = "READ 1";
    mEngine.Submit(*session, asked, mNow);
  }

  void AddVm(bool aIsDelegate)
  {
    auto fleet = Fleet(mSize + 1);
    fleet.back().isDelegate = aIsDelegate;
    mEngine.SetFleet(std::move(fleet), mNow);
    mNow += 300ms;
    mEngine.Tick(mNow);
  }

  [[nodiscard]] std::uint64_t ServersExamined() const
  {
    return mEngine.ServersExamined();
  }
  [[nodiscard]] std::uint64_t PlansMade() const { return mEngine.PlansMade(); }

private:
  [[nodiscard]] std::vector<proxy::server> Servers() const
  {
    std::vector<proxy::server> servers;
    for (std::size_t i = 0; i < mSize * kServersOfGroup; ++i) {
      proxy::server one;
      one.service = GroupName(i / kServersOfGroup);
      one.id = "s-" + std::to_string(i / kServersOfGroup) + "-" +
               std::to_string(i % kServersOfGroup);
      one.failureDomain = "north";
      servers.push_back(std::move(one));
    }
    return servers;
  }

  std::size_t mSize;
  clock::time_point mNow = test::kStart;
  test::recording_servers mServers;
  test::null_host mHost;
  test::recording_caller mCaller;
  proxy::engine mEngine{ { "vm-0", "north", 100000ms }, mServers, mHost };
};

} // namespace

TEST_GROUP(many_groups){};

// Before a thousand groups a VM's callers use a dozen. A request that looked at
// the servers of all of them, and a VM that planned its ways to all whenever
// another one came, took time for each that nobody used.
TEST(many_groups, a_request_examines_only_its_own_group)
{
  for (const std::size_t size : { 50, 100, 200 }) {
    non_delegate_vm one(size);
    CHECK_EQUAL(0, one.PlansMade());
    one.Ask();
    CHECK_EQUAL(kServersOfGroup, one.ServersExamined());
    CHECK_EQUAL(kServersOfGroup, one.PlansMade());
  }
}

TEST(many_groups, adding_a_vm_replans_only_the_servers_in_use)
{
  for (const std::size_t size : { 50, 100, 200 }) {
    non_delegate_vm one(size);
    one.Ask();
    const auto before = one.PlansMade();
    // One that works for others changes the plans that are used, another none.
    one.AddVm(false);
    CHECK_EQUAL(before, one.PlansMade());
    one.AddVm(true);
    one.Ask();
    CHECK(one.PlansMade() > before);
    CHECK(one.PlansMade() - before <= kServersOfGroup);
  }
}
