#include "currantshed/proxy/access_planner.hpp"

#include <algorithm>
#include <utility>

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
UsableConnections(std::size_t aMaxConnections, bool aIsShared)
{
  const auto part =
    aIsShared ? (aMaxConnections + 1) / 2 : aMaxConnections * 2 / 3;
  return std::max<std::size_t>(part, 1);
}

// With fewer connections a VM, a transaction that waits for its caller blocks
// the VM's other work.
constexpr std::size_t kMinConnectionsPerVm = 3;

struct scored_vm
{
  std::uint64_t score = 0;
  const fleet_vm* vm = nullptr;
};

bool
RanksHigher(const scored_vm& aLeft, const scored_vm& aRight)
{
  return aLeft.score != aRight.score ? aLeft.score > aRight.score
                                     : aLeft.vm->name < aRight.vm->name;
}

// The VMs, with the hash of their name and the server's.
std::vector<scored_vm>
ScoreVms(const upstream::server_id& aServer, const std::vector<fleet_vm>& aVms)
{
  std::string text = aServer;
  text.push_back('\0');
  const auto stem = text.size();
  std::vector<scored_vm> scored;
  scored.reserve(aVms.size());
  for (const auto& vm : aVms) {
    text.resize(stem);
    text += vm.name;
    scored.push_back({ XXH3_64bits(text.data(), text.size()), &vm });
  }
  return scored;
}

// The best of the others.
scored_vm
BestOther(const fleet_vm& aVm, const std::vector<scored_vm>& aScored)
{
  scored_vm best;
  for (const auto& one : aScored) {
    const bool isOther = one.vm != &aVm;
    if (isOther && (best.vm == nullptr || RanksHigher(one, best))) {
      best = one;
    }
  }
  return best;
}

path
PathOf(const fleet_vm& aVm)
{
  return { aVm.name, aVm.address, aVm.relayPort };
}

} // namespace

access_planner::access_planner(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

bool
access_planner::SetFleet(std::vector<fleet_vm> aFleet)
{
  const bool wasEmpty = mVms == 0;
  mVms = aFleet.size();
  const auto domain = std::exchange(mDomain, {});
  const bool wasDelegate = std::exchange(mIsDelegate, false);
  std::vector<fleet_vm> delegates;
  for (auto& vm : aFleet) {
    const bool isDelegate = !vm.draining && vm.isDelegate;
    if (vm.name == mSelf) {
      mDomain = vm.failureDomain;
      mIsDelegate = isDelegate;
    }
    if (isDelegate) {
      delegates.push_back(std::move(vm));
    }
  }
  if (delegates == mDelegates && domain == mDomain &&
      wasDelegate == mIsDelegate && wasEmpty == (mVms == 0)) {
    return false;
  }
  mDelegates = std::move(delegates);
  return true;
}

bool
access_planner::EveryVmConnects(std::size_t aMaxConnections, std::size_t aVms)
{
  return aVms > 0 && UsableConnections(aMaxConnections, false) / aVms >=
                       kMinConnectionsPerVm;
}

bool
access_planner::MayBeHolder(std::size_t aMaxConnections) const
{
  return mVms > 0 &&
         (mIsDelegate || mVms == 1 || EveryVmConnects(aMaxConnections, mVms));
}

// The best VM of each failure domain, the best one first. Only those that may
// hold any are looked at, each once: this is done for every server that is used
// whenever a VM comes or goes.
std::vector<const fleet_vm*>
access_planner::Holders(const upstream::server_id& aServer) const
{
  const auto scored = ScoreVms(aServer, mDelegates);
  std::vector<scored_vm> best;
  for (const auto& one : scored) {
    const auto found =
      std::find_if(best.begin(), best.end(), [&one](const auto& aBest) {
        return aBest.vm->failureDomain == one.vm->failureDomain;
      });
    if (found == best.end()) {
      best.push_back(one);
    } else if (RanksHigher(one, *found)) {
      *found = one;
    }
  }
  std::sort(best.begin(), best.end(), RanksHigher);
  // In a single failure domain two VMs hold connections.
  if (best.size() == 1 && scored.size() > 1) {
    best.push_back(BestOther(*best.front().vm, scored));
  }
  std::vector<const fleet_vm*> holders;
  holders.reserve(best.size());
  for (const auto& one : best) {
    holders.push_back(one.vm);
  }
  return holders;
}

access_plan
access_planner::Plan(const upstream::server_id& aServer,
                     std::size_t aMaxConnections) const
{
  const auto vms = mVms;
  access_plan plan;
  if (vms == 0) {
    plan.connections = 0;
    plan.isHolder = false;
    return plan;
  }
  if (vms == 1) {
    plan.paths = { path{} };
    plan.connections = UsableConnections(aMaxConnections, false);
    return plan;
  }
  const bool everyVmConnects = EveryVmConnects(aMaxConnections, vms);
  const auto holders = Holders(aServer);
  plan.isHolder =
    everyVmConnects ||
    std::any_of(holders.begin(), holders.end(), [&](const auto* aVm) {
      return aVm->name == mSelf;
    });
  const auto holderCount = everyVmConnects ? vms : holders.size();
  const auto usable = UsableConnections(aMaxConnections, !everyVmConnects);
  plan.connections =
    plan.isHolder ? std::max<std::size_t>(usable / holderCount, 1) : 1;
  if (plan.isHolder) {
    plan.paths.push_back({});
  }
  for (const bool near : { true, false }) {
    for (const auto* vm : holders) {
      if (vm->name != mSelf && (vm->failureDomain == mDomain) == near) {
        plan.paths.push_back(PathOf(*vm));
      }
    }
  }
  if (!plan.isHolder) {
    plan.paths.push_back({});
  }
  return plan;
}

access_plan
PlanAccess(const upstream::server_id& aServer,
           std::size_t aMaxConnections,
           const std::vector<fleet_vm>& aFleet,
           const std::string& aSelf)
{
  access_planner planner(aSelf);
  planner.SetFleet(aFleet);
  return planner.Plan(aServer, aMaxConnections);
}

} // namespace currantshed::proxy
