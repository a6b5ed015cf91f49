#include "currantshed/proxy/holders.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace currantshed::proxy {

namespace {

// Part of a server's connections stays unused. When all VMs lose power at once,
// the server counts their connections for some seconds longer, and the
// restarted VMs need new ones at once. VMs that monitor a group, and those
// whose relay has failed, need a few as well. With a pool shared by a failure
// domain, only half are used: with two thirds, at 83 VMs and 25 connections, 8
// % of the requests failed after such a power loss.
std::size_t
UsablePart(std::size_t aMostConnections, bool aIsShared)
{
  const auto part =
    aIsShared ? (aMostConnections + 1) / 2 : aMostConnections * 2 / 3;
  return std::max<std::size_t>(part, 1);
}

// With fewer connections per VM, a transaction that waits for its caller blocks
// the VM's other work.
constexpr std::size_t kFewestOfOwn = 3;

struct scored_vm
{
  std::uint64_t score = 0;
  const fleet_vm* vm = nullptr;
};

bool
GoesBefore(const scored_vm& aLeft, const scored_vm& aRight)
{
  return aLeft.score != aRight.score ? aLeft.score > aRight.score
                                     : aLeft.vm->name < aRight.vm->name;
}

// Scores each VM by the hash of its name and the server's (rendezvous hashing).
std::vector<scored_vm>
Scored(const upstream::server_id& aServer, const std::vector<fleet_vm>& aVms)
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

// The highest ranked VM except the given one.
scored_vm
BestBut(const fleet_vm& aVm, const std::vector<scored_vm>& aScored)
{
  scored_vm best;
  for (const auto& one : aScored) {
    const bool isOther = one.vm != &aVm;
    if (isOther && (best.vm == nullptr || GoesBefore(one, best))) {
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
  const bool worked = std::exchange(mWorks, false);
  std::vector<fleet_vm> workers;
  for (auto& vm : aFleet) {
    const bool works = !vm.leaving && vm.worksForOthers;
    if (vm.name == mSelf) {
      mDomain = vm.failureDomain;
      mWorks = works;
    }
    if (works) {
      workers.push_back(std::move(vm));
    }
  }
  if (workers == mWorkers && domain == mDomain && worked == mWorks &&
      wasEmpty == (mVms == 0)) {
    return false;
  }
  mWorkers = std::move(workers);
  return true;
}

bool
access_planner::IsForEveryone(std::size_t aMostConnections, std::size_t aVms)
{
  return aVms > 0 && UsablePart(aMostConnections, false) / aVms >= kFewestOfOwn;
}

bool
access_planner::MayHold(std::size_t aMostConnections) const
{
  return mVms > 0 &&
         (mWorks || mVms == 1 || IsForEveryone(aMostConnections, mVms));
}

// The highest ranked delegate of each failure domain, best first. Scores each
// delegate once: this runs for every server in use whenever the fleet changes.
std::vector<const fleet_vm*>
access_planner::Holders(const upstream::server_id& aServer) const
{
  const auto scored = Scored(aServer, mWorkers);
  std::vector<scored_vm> best;
  for (const auto& one : scored) {
    const auto found =
      std::find_if(best.begin(), best.end(), [&one](const auto& aBest) {
        return aBest.vm->failureDomain == one.vm->failureDomain;
      });
    if (found == best.end()) {
      best.push_back(one);
    } else if (GoesBefore(one, *found)) {
      *found = one;
    }
  }
  std::sort(best.begin(), best.end(), GoesBefore);
  // A single failure domain has two connection holders.
  if (best.size() == 1 && scored.size() > 1) {
    best.push_back(BestBut(*best.front().vm, scored));
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
                     std::size_t aMostConnections) const
{
  const auto vms = mVms;
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
  const bool everyone = IsForEveryone(aMostConnections, vms);
  const auto holders = Holders(aServer);
  plan.holds = everyone ||
               std::any_of(holders.begin(),
                           holders.end(),
                           [&](const auto* aVm) { return aVm->name == mSelf; });
  const auto sharers = everyone ? vms : holders.size();
  const auto usable = UsablePart(aMostConnections, !everyone);
  plan.connections =
    plan.holds ? std::max<std::size_t>(usable / sharers, 1) : 1;
  if (plan.holds) {
    plan.paths.push_back({});
  }
  for (const bool near : { true, false }) {
    for (const auto* vm : holders) {
      if (vm->name != mSelf && (vm->failureDomain == mDomain) == near) {
        plan.paths.push_back(PathOf(*vm));
      }
    }
  }
  if (!plan.holds) {
    plan.paths.push_back({});
  }
  return plan;
}

access_plan
PlanAccess(const upstream::server_id& aServer,
           std::size_t aMostConnections,
           const std::vector<fleet_vm>& aFleet,
           const std::string& aSelf)
{
  access_planner planner(aSelf);
  planner.SetFleet(aFleet);
  return planner.Plan(aServer, aMostConnections);
}

} // namespace currantshed::proxy
