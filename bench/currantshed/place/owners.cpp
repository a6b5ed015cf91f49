#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include <benchmark/benchmark.h>

#include "placement.hpp"

namespace {

using namespace currantshed;

constexpr unsigned kOwners = 3;
constexpr unsigned kGroups = 740;
constexpr unsigned kDomains = 3;
// Number of fleets with different VM names over which each figure is averaged.
constexpr unsigned kRounds = 10;

using vm_list = std::vector<store::vm>;
using maker = std::unique_ptr<place::placement> (*)();
// Changes a fleet; the number distinguishes the name of an added VM.
using change = void (*)(vm_list&, unsigned);

store::vm
MakeVm(unsigned aRound, unsigned aNumber, const std::string& aDomain)
{
  store::vm vm;
  vm.id = "vm-" + std::to_string(aRound) + "-" + std::to_string(aNumber);
  vm.failureDomain = aDomain;
  return vm;
}

vm_list
MakeFleet(unsigned aRound, unsigned aCount)
{
  vm_list vms;
  vms.reserve(aCount);
  for (unsigned number = 0; number < aCount; ++number) {
    vms.push_back(
      MakeVm(aRound, number, "domain-" + std::to_string(number % kDomains)));
  }
  return vms;
}

void
Grow(vm_list& aVms, unsigned aRound)
{
  aVms.push_back(MakeVm(aRound, 100000, aVms.front().failureDomain));
}

void
RemoveNewest(vm_list& aVms, unsigned /*aRound*/)
{
  aVms.pop_back();
}

// The VMs after the removed one move up, as in a list ordered by age or name.
void
RemoveOld(vm_list& aVms, unsigned /*aRound*/)
{
  aVms.erase(aVms.begin() + 1);
}

// The slot remains, with weight zero. Algorithms without weights see the VM as
// leaving.
void
MarkOld(vm_list& aVms, unsigned /*aRound*/)
{
  aVms[1].leaving = true;
}

void
ReplaceOld(vm_list& aVms, unsigned aRound)
{
  const auto domain = aVms[1].failureDomain;
  aVms.erase(aVms.begin() + 1);
  aVms.push_back(MakeVm(aRound, 100000, domain));
}

// The new VM takes the old one's slot, on which all processes must agree.
void
ReplaceInSlot(vm_list& aVms, unsigned aRound)
{
  aVms[1] = MakeVm(aRound, 100000, aVms[1].failureDomain);
}

std::vector<vm_list>
PlaceAll(place::placement& aPlacement, const vm_list& aVms)
{
  aPlacement.SetVms(aVms);
  std::vector<vm_list> placed;
  placed.reserve(kGroups);
  for (unsigned group = 0; group < kGroups; ++group) {
    placed.push_back(
      aPlacement.Owners("group-" + std::to_string(group), kOwners));
  }
  return placed;
}

// Percentage of ownerships (one per group and owner) that are with another VM
// afterwards.
double
MovedOwnerships(const std::vector<vm_list>& aBefore,
                const std::vector<vm_list>& aAfter)
{
  double moved = 0;
  for (std::size_t group = 0; group < aBefore.size(); ++group) {
    for (const auto& owner : aAfter[group]) {
      const auto& before = aBefore[group];
      const bool stayed =
        std::any_of(before.begin(), before.end(), [&](const auto& aVm) {
          return aVm.id == owner.id;
        });
      moved += stayed ? 0 : 1;
    }
  }
  return 100 * moved / (kGroups * kOwners);
}

// Percentage of groups that another VM leads afterwards.
double
MovedLeads(const std::vector<vm_list>& aBefore,
           const std::vector<vm_list>& aAfter)
{
  double moved = 0;
  for (std::size_t group = 0; group < aBefore.size(); ++group) {
    moved += aBefore[group][0].id == aAfter[group][0].id ? 0 : 1;
  }
  return 100 * moved / kGroups;
}

// Ownerships of the VM with the most, relative to the mean.
double
MaxOwnerships(const std::vector<vm_list>& aPlaced, std::size_t aVms)
{
  std::map<std::string, double> ownerships;
  double largest = 0;
  for (const auto& owners : aPlaced) {
    for (const auto& vm : owners) {
      largest = std::max(largest, ++ownerships[vm.id]);
    }
  }
  return largest * static_cast<double>(aVms) / (kGroups * kOwners);
}

void
BenchOwners(benchmark::State& aState, maker aMake)
{
  const auto count = static_cast<unsigned>(aState.range(0));
  const auto subject = aMake();
  subject->SetVms(MakeFleet(0, count));
  unsigned group = 0;
  for (auto step : aState) {
    static_cast<void>(step);
    auto owners = subject->Owners("group-" + std::to_string(group++), kOwners);
    benchmark::DoNotOptimize(owners);
  }
  double largest = 0;
  for (unsigned round = 0; round < kRounds; ++round) {
    const auto fleet = MakeFleet(round, count);
    largest += MaxOwnerships(PlaceAll(*subject, fleet), count) / kRounds;
  }
  aState.counters["fullest_over_mean"] = largest;
}

void
BenchMovement(benchmark::State& aState, maker aMake, change aChange)
{
  const auto count = static_cast<unsigned>(aState.range(0));
  const auto subject = aMake();
  double ownerships = 0;
  double leads = 0;
  for (auto step : aState) {
    static_cast<void>(step);
    ownerships = 0;
    leads = 0;
    for (unsigned round = 0; round < kRounds; ++round) {
      auto fleet = MakeFleet(round, count);
      const auto before = PlaceAll(*subject, fleet);
      aChange(fleet, round);
      const auto after = PlaceAll(*subject, fleet);
      ownerships += MovedOwnerships(before, after) / kRounds;
      leads += MovedLeads(before, after) / kRounds;
    }
  }
  aState.counters["moved_seats_percent"] = ownerships;
  aState.counters["moved_leads_percent"] = leads;
}

struct named_maker
{
  const char* name;
  maker make;
};

struct named_change
{
  const char* name;
  change apply;
};

constexpr named_maker kMakers[] = { { "rendezvous", place::MakeRendezvous },
                                    { "jump_hash", place::MakeJumpHash },
                                    { "jump_bucket", place::MakeJumpBucket } };

constexpr named_change kChanges[] = { { "grow", Grow },
                                      { "remove_newest", RemoveNewest },
                                      { "remove_old", RemoveOld },
                                      { "mark_old", MarkOld },
                                      { "replace_old", ReplaceOld },
                                      { "replace_in_slot", ReplaceInSlot } };

constexpr std::int64_t kCurrentVms = 8;
constexpr std::int64_t kPlannedVms = 530;

bool
RegisterAll()
{
  for (const auto& algorithm : kMakers) {
    benchmark::RegisterBenchmark(
      (std::string("owners/") + algorithm.name).c_str(),
      BenchOwners,
      algorithm.make)
      ->Arg(kCurrentVms)
      ->Arg(kPlannedVms);
    for (const auto& change : kChanges) {
      const auto name =
        std::string("move/") + change.name + "/" + algorithm.name;
      benchmark::RegisterBenchmark(
        name.c_str(), BenchMovement, algorithm.make, change.apply)
        ->Arg(kCurrentVms)
        ->Arg(kPlannedVms)
        ->Iterations(1);
    }
  }
  return true;
}

const bool kRegistered = RegisterAll();

} // namespace
