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
constexpr milliseconds kSilentRelay{ 300 };

} // namespace

void
engine::AvoidSilentRelays(clock::time_point aNow)
{
  absl::btree_map<std::string, clock::time_point> owedSince;
  for (const auto& id : mUpkept) {
    for (const auto& one : mServers.at(id).connections) {
      if (one->IsDirect()) {
        continue;
      }
      const auto since = one->IsOpen() ? one->OldestSent() : one->MadeAt();
      const auto place = owedSince.try_emplace(one->via, since).first;
      place->second = std::min(place->second, since);
    }
  }
  absl::erase_if(mRelaysHeard, [&owedSince](const auto& aEntry) {
    return !owedSince.contains(aEntry.first);
  });
  for (const auto& [vm, since] : owedSince) {
    const auto heard = mRelaysHeard.find(vm);
    const bool isHeard = heard != mRelaysHeard.end() && heard->second >= since;
    if (!isHeard && since < aNow && aNow - since > kSilentRelay) {
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
  std::vector<session_id> movable;
  for (auto& [id, state] : mServers) {
    // The server has not been used yet.
    if (state.plannedFor == 0) {
      continue;
    }
    state.WayFailed(aVm, aNow);
    for (const auto& one : state.connections) {
      if (one->via != aVm) {
        continue;
      }
      if (one->IsIdle() || !one->IsOpen()) {
        unused.push_back(one.get());
      } else if (one->user != nullptr && MayMove(*one->user)) {
        movable.push_back(one->user->number);
      }
    }
  }
  for (auto* one : unused) {
    FailOrdersOn(*one);
    Discard(*one);
  }
  for (const auto id : movable) {
    const auto found = mSessions.find(id);
    if (found != mSessions.end() && found->second->current) {
      LinkLost(*found->second, aNow);
      DropIfGone(id);
    }
  }
}

bool
engine::MayMove(const session& aSession)
{
  const bool begun = aSession.transaction && aSession.transaction->begun;
  return aSession.current && !aSession.current->commits && !begun;
}

} // namespace currantshed::proxy
