#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// A server that takes longer to accept a connection is considered unreachable.
constexpr milliseconds kConnectTimeout{ 1000 };
// Time limit for an answer that no session waits for.
constexpr milliseconds kAnswerTimeout{ 3000 };
// Idle timeout of a connection beyond the first. Direct connections are scarce
// on the server; those through relays are cheap.
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

// Control commands take precedence over requests. Without an idle connection
// one is opened, beyond the limit for requests if necessary.
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

// Marks a server, or a path to it, that does not answer as avoided for a while.
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
  RecordReachability(aState, false, aReason);
}

// An open connection of a customer costs little, and much to open again; other
// sessions of the customer may need it at any time.
milliseconds
engine::MaxIdleTime(const server_state& aState, const connection& aConnection)
{
  const bool isWithin = aState.Count(true) <= aState.plan.connections;
  return isWithin && !aConnection.customer.empty() ? kCustomerIdleTimeout
                                                   : kDirectIdleTimeout;
}

// Closes unneeded and unresponsive connections, and keeps one open to each
// server for which this VM is a connection holder.
void
engine::CloseUnneededConnections(clock::time_point aNow)
{
  std::vector<connection*> closing;
  for (const auto& id : mMaintained) {
    CloseUnneededOf(WithPlan(mServers.at(id)), closing, aNow);
  }
  for (auto* one : closing) {
    if (IsOfCustomer(*one)) {
      mHost.ConnectionChanged("closed", "unneeded");
    }
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
    const bool needsConnection = !state->unlisted && !state->listed.draining;
    if (needsConnection && state->connections.empty() &&
        state->MayOpenDirect(state->plan.connections, aNow)) {
      OpenConnection(*state, path{}, {}, aNow);
    }
  }
}

void
engine::CloseUnneededOf(server_state& aState,
                        std::vector<connection*>& aClosing,
                        clock::time_point aNow)
{
  auto direct = aState.Count(true);
  const std::size_t keptOpen = aState.plan.isHolder ? 1 : 0;
  for (const auto& one : aState.connections) {
    const bool slow =
      !one->IsOpen() && aNow - one->CreatedAt() > kConnectTimeout;
    const bool silent = one->user == nullptr && !one->HasNoPending() &&
                        aNow - one->OldestPendingAt() > kAnswerTimeout;
    const auto idleFor = aNow - one->idleSince;
    const bool isSurplus =
      one->IsDirect() ? direct > keptOpen && idleFor > MaxIdleTime(aState, *one)
                      : idleFor > kRelayIdleTimeout;
    const bool isUnused = one->IsIdle() && (aState.unlisted || one->retiring);
    if (slow || silent) {
      MarkUnresponsive(aState, *one, aNow, slow ? "opening_timeout" : "silent");
    }
    if (slow || silent || (one->IsIdle() && isSurplus) || isUnused) {
      aClosing.push_back(one.get());
      direct -= one->IsDirect() ? 1 : 0;
    }
  }
}

} // namespace currantshed::proxy
