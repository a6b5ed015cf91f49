#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A server that takes longer to accept a connection is taken for unreachable.
constexpr milliseconds kConnectTimeout{ 1000 };
// An answer that nobody waits for any longer is given up after this time.
constexpr milliseconds kAnswerTimeout{ 3000 };
// How long a connection beyond the first is kept idle: those of the server are
// few, those through other VMs cost little.
constexpr milliseconds kDirectIdleTimeout{ 1500 };
constexpr milliseconds kRelayIdleTimeout{ 10000 };
constexpr milliseconds kCustomerIdleTimeout{ 20000 };

} // namespace

void
engine::SendControl(const upstream::server_id& aServer,
                    command aCommand,
                    bool aDirect,
                    milliseconds aTimeout,
                    control_callback aDone,
                    clock::time_point aNow)
{
  const auto number = ++mLastNumber;
  mControls[number] = {
    aServer, std::move(aCommand), aDirect, aNow + aTimeout, std::move(aDone)
  };
  DispatchControls(aServer, aNow);
}

void
engine::OpenForControl(server_state& aServer,
                       bool aDirect,
                       clock::time_point aNow)
{
  WithPlan(aServer);
  if (aDirect) {
    if (aServer.Opening(true) == 0 &&
        aServer.Count(true) <= aServer.plan.connections) {
      OpenConnection(aServer, path{}, {}, aNow);
    }
  } else if (const auto* way = aServer.PathToOpen(aNow)) {
    OpenConnection(aServer, *way, {}, aNow);
  }
}

// Orders go before requests; one that finds no connection makes one, beyond
// the limit for requests if need be.
void
engine::DispatchControls(const upstream::server_id& aServer,
                         clock::time_point aNow)
{
  auto* state = Find(aServer);
  if (state == nullptr) {
    return;
  }
  for (auto& [number, one] : mControls) {
    if (one.server != aServer || one.serverConnection != nullptr) {
      continue;
    }
    auto* idle = state->FindIdle({}, one.direct);
    if (idle == nullptr) {
      OpenForControl(*state, one.direct, aNow);
      continue;
    }
    one.serverConnection = idle;
    one.askedAt = aNow;
    idle->Send({ one.what }, { purpose::kControl, aNow, 0, number });
  }
}

void
engine::FinishControl(std::uint64_t aNumber, const control_result& aResult)
{
  const auto found = mControls.find(aNumber);
  if (found == mControls.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  mControls.erase(found);
  done(aResult);
}

void
engine::ExpireControls(clock::time_point aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [number, one] : mControls) {
    if (aNow >= one.deadline) {
      expired.push_back(number);
    }
  }
  for (const auto number : expired) {
    FinishControl(number, {});
  }
}

void
engine::FailControlsOn(const connection& aConnection)
{
  std::vector<std::uint64_t> failed;
  for (const auto& [number, one] : mControls) {
    const bool waits =
      one.serverConnection == nullptr && one.server == aConnection.server &&
      !aConnection.IsOpen() && (!one.direct || aConnection.IsDirect());
    if (one.serverConnection == &aConnection || waits) {
      failed.push_back(number);
    }
  }
  for (const auto number : failed) {
    FinishControl(number, {});
  }
}

// A server, or a way to it, that does not answer is avoided for a while.
void
engine::MarkUnresponsive(server_state& aState,
                         const connection& aConnection,
                         clock::time_point aNow,
                         std::string_view aReason)
{
  if (!aConnection.IsDirect()) {
    aState.ObserveRelayFailure(aConnection.via, aNow);
    return;
  }
  aState.ObserveFailure(aNow);
  NoteReachability(aState, false, aReason);
}

// One that belongs to a customer costs little while it stands, and much to open
// again; others of the customer's may come at any time.
milliseconds
engine::MaxIdleTime(const server_state& aState, const connection& aConnection)
{
  const bool isWithin = aState.Count(true) <= aState.plan.connections;
  return isWithin && !aConnection.customer.empty() ? kCustomerIdleTimeout
                                                   : kDirectIdleTimeout;
}

// Closes what is no longer needed, gives up what does not answer, and keeps
// one connection to each server that this VM is meant to hold some to.
void
engine::TrimConnections(clock::time_point aNow)
{
  std::vector<connection*> ended;
  for (const auto& id : mMaintained) {
    TrimServer(WithPlan(mServers.at(id)), ended, aNow);
  }
  for (auto* one : ended) {
    FailControlsOn(*one);
    Discard(*one);
  }
  const bool isAnyGone = absl::erase_if(mMaintained, [this](const auto& aId) {
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
  absl::erase_if(mMaintained, [this](const auto& aId) {
    return mServers.at(aId).connections.empty();
  });
  if (!mHeldServers) {
    ListHeldServers();
  }
  for (auto* state : *mHeldServers) {
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
  const std::size_t kept = aState.plan.isHolder ? 1 : 0;
  for (const auto& one : aState.connections) {
    const bool slow =
      !one->IsOpen() && aNow - one->CreatedAt() > kConnectTimeout;
    const bool silent = one->user == nullptr && !one->HasNoPending() &&
                        aNow - one->OldestPendingAt() > kAnswerTimeout;
    const auto idleFor = aNow - one->idleSince;
    const bool spare = one->IsDirect()
                         ? direct > kept && idleFor > MaxIdleTime(aState, *one)
                         : idleFor > kRelayIdleTimeout;
    const bool unused = one->IsIdle() && (aState.unlisted || one->retiring);
    if (slow || silent) {
      MarkUnresponsive(aState, *one, aNow, slow ? "opening_timeout" : "silent");
    }
    if (slow || silent || (one->IsIdle() && spare) || unused) {
      aEnded.push_back(one.get());
      direct -= one->IsDirect() ? 1 : 0;
    }
  }
}

} // namespace currantshed::proxy
