#include "currantshed/member/membership.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "currantshed/wire/codec.hpp"

namespace {

using namespace currantshed;
using std::chrono::milliseconds;

constexpr std::int64_t kToday = 8;
constexpr std::int64_t kPlanned = 530;
constexpr unsigned kDomains = 3;
// Groups of either fleet: three today, 740 planned.
constexpr int kGroupsToday = 3;
constexpr int kGroupsPlanned = 740;

std::vector<store::vm>
MakeFleet(std::int64_t aCount)
{
  std::vector<store::vm> vms;
  vms.reserve(static_cast<std::size_t>(aCount));
  for (std::int64_t number = 0; number < aCount; ++number) {
    store::vm vm;
    vm.id = "vm-" + std::to_string(number);
    vm.address = "10.20.30.40";
    vm.failureDomain = "domain-" + std::to_string(number % kDomains);
    vm.poolerPort = 7001;
    vm.peerPort = 7002;
    vm.statusPort = 7003;
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::vector<group::group_name>
MakeGroups(std::int64_t aVms)
{
  std::vector<group::group_name> groups;
  const int count = aVms == kToday ? kGroupsToday : kGroupsPlanned;
  groups.reserve(static_cast<std::size_t>(count));
  for (int group = 0; group < count; ++group) {
    groups.push_back("group-" + std::to_string(group));
  }
  return groups;
}

// A roster, and heartbeats of all its peers to feed it.
class running_membership
{
public:
  explicit running_membership(std::int64_t aVms)
    : mVms(MakeFleet(aVms))
  {
    member::membership_settings settings;
    settings.self = mVms.front();
    settings.incarnation = "vm-0/1796229257718/ff178768";
    subject = member::MakeMembership(settings, 1);
    subject->Listed(mVms, now);
    subject->SetGroups(MakeGroups(aVms));
  }

  // The next heartbeat of some peer.
  void Arrive()
  {
    mTurn = mTurn % (mVms.size() - 1) + 1;
    member::heartbeat beat;
    beat.sender = mVms[mTurn];
    beat.incarnation = "vm-n/1796229257718/ff178768";
    beat.sequence = ++mSequence;
    subject->HeartbeatArrived(beat, now);
  }

  void HearAll()
  {
    for (std::size_t peer = 1; peer < mVms.size(); ++peer) {
      Arrive();
    }
  }

  std::unique_ptr<member::membership> subject;
  clock::time_point now{ milliseconds{ 1000 } };

private:
  std::vector<store::vm> mVms;
  std::size_t mTurn = 0;
  std::uint64_t mSequence = 0;
};

void
HeartbeatArrives(benchmark::State& aState)
{
  running_membership given(aState.range(0));
  given.HearAll();
  for (auto step : aState) {
    static_cast<void>(step);
    given.Arrive();
  }
}

void
HeartbeatsGoOut(benchmark::State& aState)
{
  running_membership given(aState.range(0));
  given.HearAll();
  double messages = 0;
  double bytes = 0;
  for (auto step : aState) {
    static_cast<void>(step);
    aState.PauseTiming();
    given.now += milliseconds{ 150 };
    given.HearAll();
    aState.ResumeTiming();
    given.subject->Tick(given.now);
    for (const auto& send : given.subject->TakeHeartbeats()) {
      ++messages;
      bytes +=
        static_cast<double>(wire::Encode(send.message, given.now).size());
    }
  }
  const auto rounds = static_cast<double>(aState.iterations());
  aState.counters["messages_per_round"] = messages / rounds;
  aState.counters["bytes_per_message"] = bytes / messages;
}

void
ViewChanges(benchmark::State& aState)
{
  running_membership given(aState.range(0));
  auto vms = MakeFleet(aState.range(0));
  for (auto step : aState) {
    static_cast<void>(step);
    vms.back().leaving = !vms.back().leaving;
    given.subject->Listed(vms, given.now);
  }
}

BENCHMARK(HeartbeatArrives)->Arg(kToday)->Arg(kPlanned);
BENCHMARK(HeartbeatsGoOut)->Arg(kToday)->Arg(kPlanned);
BENCHMARK(ViewChanges)->Arg(kToday)->Arg(kPlanned);

} // namespace
