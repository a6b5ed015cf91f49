// What one change costs a VM of a fleet with as many groups as VMs.
#include <cstddef>
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "currantshed/node/cluster_state.hpp"
#include "currantshed/node/lock_assignments.hpp"
#include "currantshed/proxy/access_planner.hpp"

namespace {

using namespace currantshed;

constexpr std::size_t kDomains = 5;
// One VM in twenty has a whole core.
constexpr std::size_t kStrongEach = 20;
constexpr unsigned kStrongShare = 1000;
constexpr unsigned kWeakShare = 120;

node::vm_record
MakeVm(std::size_t aNumber)
{
  node::vm_record record;
  record.where = { "front-domain-" + std::to_string(aNumber),
                   "10.0.0.1",
                   7440 };
  record.failureDomain = "domain-" + std::to_string(aNumber % kDomains);
  record.cpuMillicores =
    aNumber / kDomains % kStrongEach == 0 ? kStrongShare : kWeakShare;
  return record;
}

store::prefix_view::items
MakeKeys(std::size_t aSize)
{
  store::prefix_view::items items;
  std::uint64_t revision = 0;
  for (std::size_t i = 0; i < aSize; ++i) {
    const auto vm = MakeVm(i);
    const auto key = node::VmKey(vm.where.vm);
    items[key] = { key, node::SerializeVm(vm), { 0, ++revision }, {} };
    const auto duty = node::FailoverLockKey("group-" + std::to_string(i));
    items[duty] = { duty,
                    node::SerializeFailoverLock({ vm.where.vm, 0, revision }),
                    { 0, ++revision },
                    {} };
  }
  return items;
}

/// The whole list is read.
void
ReadAllKeys(benchmark::State& aState)
{
  const auto items = MakeKeys(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(node::ReadClusterState(items));
  }
}

/// One VM says something else of itself.
void
ReadOneKey(benchmark::State& aState)
{
  auto items = MakeKeys(static_cast<std::size_t>(aState.range(0)));
  auto keys = node::ReadClusterState(items);
  const auto key = items.begin()->first;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      node::UpdateClusterState(keys, items, { false, { key } }));
  }
}

/// A VM that had duties goes, and comes back: who takes them is worked out.
void
OneVmGoesAndComes(benchmark::State& aState)
{
  const auto size = static_cast<std::size_t>(aState.range(0));
  auto keys = node::ReadClusterState(MakeKeys(size));
  node::lock_assignments board(MakeVm(0).where.vm);
  board.SetCandidates(keys, node::LockCandidates(keys));
  for (std::size_t i = 0; i < size; ++i) {
    board.AddService(keys, "group-" + std::to_string(i));
  }
  const auto gone = keys.vms.find(MakeVm(0).where.vm)->second;
  for (auto _ : aState) {
    keys.vms.erase(gone.record.where.vm);
    board.SetCandidates(keys, node::LockCandidates(keys));
    keys.vms[gone.record.where.vm] = gone;
    board.SetCandidates(keys, node::LockCandidates(keys));
  }
}

BENCHMARK(ReadAllKeys)
  ->Arg(500)
  ->Arg(1000)
  ->Arg(2000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ReadOneKey)
  ->Arg(500)
  ->Arg(1000)
  ->Arg(2000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(OneVmGoesAndComes)
  ->Arg(500)
  ->Arg(1000)
  ->Arg(2000)
  ->Unit(benchmark::kMicrosecond);

} // namespace
