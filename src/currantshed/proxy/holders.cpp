#include "currantshed/proxy/holders.hpp"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace currantshed::proxy {

namespace {

// A part of a server's connections stays free. When all VMs lose power at
// once, the server counts their connections for seconds longer, and their
// successors need some at once. VMs that watch a group, and those whose way
// through another VM fails, need a few besides. Where the VMs of a failure
// domain share a pool, half will do: at 83 VMs before 25 connections, two
// thirds took 8 % of the requests after such a loss of power.
std::size_t
UsablePart(std::size_t aMostConnections, bool aIsShared)
{
  const auto part =
    aIsShared ? (aMostConnections + 1) / 2 : aMostConnections * 2 / 3;
  return std::max<std::size_t>(part, 1);
}

// With fewer connections a VM, a transaction that waits for its caller blocks
// the VM's other work.
constexpr std::size_t kFewestOfOwn = 3;
// Failure domains count as one when there are fewer than this, so that two
// VMs hold connections.
constexpr std::size_t kFewestHolders = 2;

std::uint64_t
Score(const std::string& aServer, const std::string& aVm)
{
  std::string text = aServer;
  text.push_back('\0');
  text += aVm;
  return XXH3_64bits(text.data(), text.size());
}

// The best VM of each failure domain, the best one first.
std::vector<const fleet_vm*>
Holders(const upstream::server_id& aServer, const std::vector<fleet_vm>& aFleet)
{
  std::vector<const fleet_vm*> ranked;
  for (const auto& vm : aFleet) {
    if (!vm.leaving) {
      ranked.push_back(&vm);
    }
  }
  std::sort(
    ranked.begin(), ranked.end(), [&](const auto* aLeft, const auto* aRight) {
      const auto left = Score(aServer, aLeft->name);
      const auto right = Score(aServer, aRight->name);
      return left != right ? left > right : aLeft->name < aRight->name;
    });
  std::map<std::string, std::size_t> taken;
  std::vector<const fleet_vm*> holders;
  std::vector<const fleet_vm*> others;
  for (const auto* vm : ranked) {
    auto& list = taken[vm->failureDomain]++ == 0 ? holders : others;
    list.push_back(vm);
  }
  for (const auto* vm : others) {
    if (holders.size() >= kFewestHolders) {
      break;
    }
    holders.push_back(vm);
  }
  return holders;
}

path
PathOf(const fleet_vm& aVm)
{
  return { aVm.name, aVm.address, aVm.relayPort };
}

} // namespace

access_plan
PlanAccess(const upstream::server_id& aServer,
           std::size_t aMostConnections,
           const std::vector<fleet_vm>& aFleet,
           const std::string& aSelf)
{
  const auto vms = aFleet.size();
  access_plan plan;
  if (vms == 0) {
    plan.connections = 0;
    plan.holds = false;
    return plan;
  }
  if (vms == 1) {
    plan.paths = { path{} };
    plan.connections = UsablePart(aMostConnections, false);
    return plan;
  }
  const bool everyone =
    UsablePart(aMostConnections, false) / vms >= kFewestOfOwn;
  const auto holders = Holders(aServer, aFleet);
  const auto self =
    std::find_if(aFleet.begin(), aFleet.end(), [&](const auto& aVm) {
      return aVm.name == aSelf;
    });
  const std::string domain =
    self == aFleet.end() ? std::string() : self->failureDomain;
  plan.holds = everyone ||
               std::any_of(holders.begin(),
                           holders.end(),
                           [&](const auto* aVm) { return aVm->name == aSelf; });
  const auto sharers = everyone ? vms : holders.size();
  const auto usable = UsablePart(aMostConnections, !everyone);
  plan.connections =
    plan.holds ? std::max<std::size_t>(usable / sharers, 1) : 1;
  if (plan.holds) {
    plan.paths.push_back({});
  }
  for (const bool near : { true, false }) {
    for (const auto* vm : holders) {
      if (vm->name != aSelf && (vm->failureDomain == domain) == near) {
        plan.paths.push_back(PathOf(*vm));
      }
    }
  }
  if (!plan.holds) {
    plan.paths.push_back({});
  }
  return plan;
}

} // namespace currantshed::proxy
