// Other VMs as ways to servers: which of them have fallen silent.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A VM that owes answers for this long and has said nothing since is taken to
// be out of reach. Statements take some 20 ms, and those on a slow server don't
// keep the VM from answering others. Each VM learns it once for all servers: by
// one lost statement for each of them it took seconds.
constexpr milliseconds kRelaySilenceTimeout{ 300 };

} // namespace

void
engine::AvoidSilentRelays(clock::time_point aNow)
{
  absl::btree_map<std::string, clock::time_point> owedSince;
  for (const auto& id : mMaintained) {
    for (const auto& one : mServers.at(id).connections) {
      if (one->IsDirect()) {
        continue;
      }
      const auto since =
        one->IsOpen() ? one->OldestPendingAt() : one->CreatedAt();
      const auto place = owedSince.try_emplace(one->via, since).first;
      place->second = std::min(place->second, since);
    }
  }
  absl::erase_if(mRelayContacts, [&owedSince](const auto& aEntry) {
    return !owedSince.contains(aEntry.first);
  });
  for (const auto& [vm, since] : owedSince) {
    const auto heard = mRelayContacts.find(vm);
    const bool isHeard =
      heard != mRelayContacts.end() && heard->second >= since;
    if (!isHeard && since < aNow && aNow - since > kRelaySilenceTimeout) {
      AvoidRelay(vm, aNow);
    }
  }
}

// Takes other ways for a while, also for reads under way: a statement that may
// change something is left, since only its answer tells what became of it.
void
engine::AvoidRelay(const std::string& aVm, clock::time_point aNow)
{
  std::vector<connection*> unused;
  std::vector<session_id> reroutable;
  for (auto& [id, state] : mServers) {
    // Nothing has gone to this server yet, by whatever way.
    if (state.planEpoch == 0) {
      continue;
    }
    state.ObserveRelayFailure(aVm, aNow);
    for (const auto& one : state.connections) {
      if (one->via != aVm) {
        continue;
      }
      if (one->IsIdle() || !one->IsOpen()) {
        unused.push_back(one.get());
      } else if (one->user != nullptr && CanReroute(*one->user)) {
        reroutable.push_back(one->user->number);
      }
    }
  }
  for (auto* one : unused) {
    FailControlsOn(*one);
    Discard(*one);
  }
  for (const auto id : reroutable) {
    const auto found = mSessions.find(id);
    if (found != mSessions.end() && found->second->current) {
      ConnectionLost(*found->second, aNow);
      DropIfGone(id);
    }
  }
}

bool
engine::CanReroute(const session& aSession)
{
  const bool begun = aSession.transaction && aSession.transaction->begun;
  return aSession.current && !aSession.current->commits && !begun;
}

} // namespace currantshed::proxy
