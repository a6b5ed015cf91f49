// Relays: detects those that no longer answer.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A relay with an answer overdue by this time and no other answer since is
// considered unreachable. Statements take some 20 ms, and those on a slow
// server don't delay the relay's other answers. The relay is avoided for all
// servers at once: detecting it by a lost statement for each server took
// seconds.
constexpr milliseconds kRelaySilenceTimeout{ 300 };

} // namespace

void
engine::AvoidSilentRelays(clock::time_point aNow)
{
  absl::btree_map<std::string, clock::time_point> unansweredSince;
  for (const auto& id : mMaintained) {
    for (const auto& one : mServers.at(id).connections) {
      if (one->IsDirect()) {
        continue;
      }
      const auto since =
        one->IsOpen() ? one->OldestPendingAt() : one->CreatedAt();
      const auto place = unansweredSince.try_emplace(one->via, since).first;
      place->second = std::min(place->second, since);
    }
  }
  absl::erase_if(mRelayContacts, [&unansweredSince](const auto& aEntry) {
    return !unansweredSince.contains(aEntry.first);
  });
  for (const auto& [vm, since] : unansweredSince) {
    const auto heard = mRelayContacts.find(vm);
    const bool isHeard =
      heard != mRelayContacts.end() && heard->second >= since;
    if (!isHeard && since < aNow && aNow - since > kRelaySilenceTimeout) {
      AvoidRelay(vm, aNow);
    }
  }
}

// Avoids the relay for a while, and reroutes its reads in progress. A statement
// that may write is left alone, since only its answer shows whether it took
// effect.
void
engine::AvoidRelay(const std::string& aVm, clock::time_point aNow)
{
  std::vector<connection*> unused;
  std::vector<session_id> reroutable;
  for (auto& [id, state] : mServers) {
    // The server has not been used yet.
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
      RemoveIfCallerLeft(id);
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
