#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A server that takes longer to accept a connection is considered unreachable.
constexpr milliseconds kLongestOpening{ 1000 };
// Time limit for an answer that no session waits for.
constexpr milliseconds kLongestSilence{ 3000 };
// Idle timeout of a connection beyond the first. Direct connections are scarce
// on the server; those through relays are cheap.
constexpr milliseconds kBorrowedIdle{ 1500 };
constexpr milliseconds kRelayIdle{ 10000 };
constexpr milliseconds kCustomersIdle{ 20000 };

} // namespace

void
engine::Order(const upstream::server_id& aServer,
              command aCommand,
              bool aDirect,
              milliseconds aTimeout,
              order_callback aDone,
              clock::time_point aNow)
{
  const auto number = ++mLastNumber;
  mOrders[number] = {
    aServer, std::move(aCommand), aDirect, aNow + aTimeout, std::move(aDone)
  };
  PumpOrders(aServer, aNow);
}

void
engine::OpenForOrder(server_state& aServer,
                     bool aDirect,
                     clock::time_point aNow)
{
  Planned(aServer);
  if (aDirect) {
    if (aServer.Opening(true) == 0 &&
        aServer.Count(true) <= aServer.plan.connections) {
      OpenConnection(aServer, path{}, {}, aNow);
    }
  } else if (const auto* way = aServer.OpenWay(aNow)) {
    OpenConnection(aServer, *way, {}, aNow);
  }
}

// Control commands take precedence over requests. Without an idle connection
// one is opened, beyond the limit for requests if necessary.
void
engine::PumpOrders(const upstream::server_id& aServer, clock::time_point aNow)
{
  auto* state = Find(aServer);
  if (state == nullptr) {
    return;
  }
  for (auto& [number, one] : mOrders) {
    if (one.server != aServer || one.on != nullptr) {
      continue;
    }
    auto* idle = state->Idle({}, one.direct);
    if (idle == nullptr) {
      OpenForOrder(*state, one.direct, aNow);
      continue;
    }
    one.on = idle;
    one.askedAt = aNow;
    idle->Send({ one.what }, { purpose::kControl, aNow, 0, number });
  }
}

void
engine::EndOrder(std::uint64_t aNumber, const order_result& aResult)
{
  const auto found = mOrders.find(aNumber);
  if (found == mOrders.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  mOrders.erase(found);
  done(aResult);
}

void
engine::ExpireOrders(clock::time_point aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [number, one] : mOrders) {
    if (aNow >= one.deadline) {
      expired.push_back(number);
    }
  }
  for (const auto number : expired) {
    EndOrder(number, {});
  }
}

void
engine::FailOrdersOn(const connection& aConnection)
{
  std::vector<std::uint64_t> failed;
  for (const auto& [number, one] : mOrders) {
    const bool waits = one.on == nullptr && one.server == aConnection.server &&
                       !aConnection.IsOpen() &&
                       (!one.direct || aConnection.IsDirect());
    if (one.on == &aConnection || waits) {
      failed.push_back(number);
    }
  }
  for (const auto number : failed) {
    EndOrder(number, {});
  }
}

// Marks a server, or a path to it, that does not answer as avoided for a while.
void
engine::GiveUp(server_state& aState,
               const connection& aConnection,
               clock::time_point aNow,
               std::string_view aReason)
{
  if (!aConnection.IsDirect()) {
    aState.WayFailed(aConnection.via, aNow);
    return;
  }
  aState.Failed(aNow);
  NoteReached(aState, false, aReason);
}

// An open connection of a customer costs little, and much to open again; other
// sessions of the customer may need it at any time.
milliseconds
engine::LongestIdle(const server_state& aState, const connection& aConnection)
{
  const bool isWithin = aState.Count(true) <= aState.plan.connections;
  return isWithin && !aConnection.customer.empty() ? kCustomersIdle
                                                   : kBorrowedIdle;
}

// Closes unneeded and unresponsive connections, and keeps one open to each
// server for which this VM is a connection holder.
void
engine::TrimConnections(clock::time_point aNow)
{
  std::vector<connection*> ended;
  for (const auto& id : mUpkept) {
    TrimServer(Planned(mServers.at(id)), ended, aNow);
  }
  for (auto* one : ended) {
    FailOrdersOn(*one);
    Discard(*one);
  }
  const bool isAnyGone = absl::erase_if(mUpkept, [this](const auto& aId) {
                           const auto& state = mServers.at(aId);
                           const bool isGone =
                             state.unlisted && state.connections.empty();
                           if (isGone) {
                             mServers.erase(aId);
                           }
                           return isGone;
                         }) > 0;
  if (isAnyGone) {
    IndexServers();
  }
  absl::erase_if(mUpkept, [this](const auto& aId) {
    return mServers.at(aId).connections.empty();
  });
  if (!mHeld) {
    ListHeld();
  }
  for (auto* state : *mHeld) {
    const bool wanted = !state->unlisted && !state->listed.draining;
    if (wanted && state->connections.empty() &&
        state->MayOpenDirect(state->plan.connections, aNow)) {
      OpenConnection(*state, path{}, {}, aNow);
    }
  }
}

void
engine::TrimServer(server_state& aState,
                   std::vector<connection*>& aEnded,
                   clock::time_point aNow)
{
  auto direct = aState.Count(true);
  const std::size_t kept = aState.plan.holds ? 1 : 0;
  for (const auto& one : aState.connections) {
    const bool slow = !one->IsOpen() && aNow - one->MadeAt() > kLongestOpening;
    const bool silent = one->user == nullptr && !one->IsQuiet() &&
                        aNow - one->OldestSent() > kLongestSilence;
    const auto idleFor = aNow - one->idleSince;
    const bool spare = one->IsDirect()
                         ? direct > kept && idleFor > LongestIdle(aState, *one)
                         : idleFor > kRelayIdle;
    const bool unused = one->IsIdle() && (aState.unlisted || one->retiring);
    if (slow || silent) {
      GiveUp(aState, *one, aNow, slow ? "opening_timeout" : "silent");
    }
    if (slow || silent || (one->IsIdle() && spare) || unused) {
      aEnded.push_back(one.get());
      direct -= one->IsDirect() ? 1 : 0;
    }
  }
}

} // namespace currantshed::proxy
