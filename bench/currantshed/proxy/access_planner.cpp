#include "currantshed/proxy/access_planner.hpp"

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

namespace {

using namespace currantshed;

constexpr unsigned kDomains = 5;
constexpr unsigned kServers = 60;
constexpr std::size_t kMaxConnections = 88;

std::vector<proxy::fleet_vm>
MakeFleet(std::size_t aCount)
{
  std::vector<proxy::fleet_vm> fleet;
  for (std::size_t number = 0; number < aCount; ++number) {
    const auto domain = "domain-" + std::to_string(number % kDomains);
    fleet.push_back({ "front-" + domain + "-" + std::to_string(number),
                      domain,
                      "10.0.0.1",
                      7441 });
  }
  return fleet;
}

/// What a VM works out anew when a VM comes or goes: its way to each of sixty
/// servers.
void
PlanAllServers(benchmark::State& aState)
{
  const auto fleet = MakeFleet(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    proxy::access_planner planner(fleet.front().name);
    planner.SetFleet(fleet);
    for (unsigned server = 0; server < kServers; ++server) {
      benchmark::DoNotOptimize(
        planner.Plan("i-" + std::to_string(server), kMaxConnections));
    }
  }
}

BENCHMARK(PlanAllServers)
  ->Arg(9)
  ->Arg(75)
  ->Arg(295)
  ->Arg(1000)
  ->Unit(benchmark::kMillisecond);

} // namespace
