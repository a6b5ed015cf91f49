#include "currantshed/failover/coordinator.hpp"

#include <chrono>
#include <string>
#include <variant>

#include <benchmark/benchmark.h>

namespace {

using namespace currantshed;
using std::chrono::milliseconds;

// One probe of each of the three servers of a healthy group, and their answers:
// the work of an owner per group and probe interval.
void
ProbeRound(benchmark::State& aState)
{
  failover::coordinator_settings settings;
  settings.vm = "vm-1";
  settings.incarnation = "vm-1/1";
  settings.failureDomain = "d0";
  settings.owners = 3;
  const auto subject = failover::MakeCoordinator(settings);
  group::description group;
  group.name = "claimsbook-1";
  group.members.resize(3);
  for (std::size_t index = 0; index < group.members.size(); ++index) {
    group.members[index].id = "s" + std::to_string(index);
    group.members[index].failureDomain = "d" + std::to_string(index);
  }
  clock::time_point now{ milliseconds{ 1000 } };
  subject->Configure(group, 0, 3, now);
  upstream::server_status status;
  status.term = 1;
  for (auto step : aState) {
    static_cast<void>(step);
    for (const auto& wanted : subject->TakeActions()) {
      if (const auto* asked = std::get_if<failover::probe>(&wanted)) {
        const bool leads = asked->server == "s0";
        status.role = leads ? upstream::server_role::kPrimary
                            : upstream::server_role::kReplica;
        status.sincePrimary.reset();
        if (!leads) {
          status.sincePrimary = milliseconds{ 5 };
        }
        subject->StatusArrived(asked->server, status, now, now);
      }
    }
    now += settings.probeInterval;
    subject->Tick(now);
  }
}

BENCHMARK(ProbeRound);

} // namespace
