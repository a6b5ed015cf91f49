// Connections to servers: which may be opened, and what becomes of those that
// are given back.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

// An idle connection; where there is none, one is opened for those that wait.
connection*
engine::Acquire(server_state& aServer,
                const session& aSession,
                clock::time_point aNow)
{
  const auto& customer = aSession.current->customer;
  auto* idle = aServer.Idle(aSession.values, false, &customer);
  if (idle != nullptr || mOnlyIdle) {
    return idle;
  }
  if (const auto* way = aServer.OpenWay(aNow, customer)) {
    OpenConnection(aServer, *way, customer, aNow);
  }
  return nullptr;
}

void
engine::OpenConnection(server_state& aServer,
                       const path& aVia,
                       const std::string& aCustomer,
                       clock::time_point aNow)
{
  // One of another customer makes room: what a connection is for can't change.
  if (aVia.IsDirect() && !aCustomer.empty() &&
      !aServer.HasRoom(aServer.plan.connections, aNow)) {
    if (auto* least = aServer.LeastUsed(aCustomer)) {
      Discard(*least);
    }
  }
  auto made =
    std::make_unique<connection>(aServer.listed.id,
                                 aServer.listed.service,
                                 aVia.vm,
                                 aVia.IsDirect() ? aCustomer : std::string(),
                                 static_cast<connection_events&>(*this),
                                 aNow);
  auto& place = *made;
  aServer.connections.push_back(std::move(made));
  place.Attach(mOpener.Open(aServer.listed, aVia, place.customer, place));
}

void
engine::MakePlan(server_state& aServer)
{
  std::size_t most = 1;
  const auto found = mConfiguration->services.find(aServer.listed.service);
  if (found != mConfiguration->services.end()) {
    most = found->second.maxConnections;
  }
  aServer.plan = PlanAccess(aServer.listed.id, most, mFleet, mSettings.vm);
}

void
engine::MakePlans()
{
  for (auto& [id, state] : mServers) {
    MakePlan(state);
  }
}

// The session has done with the connection. A transaction left open on it is
// rolled back first.
void
engine::GiveBack(connection& aConnection, clock::time_point aNow)
{
  auto* user = aConnection.user;
  aConnection.user = nullptr;
  aConnection.idleSince = aNow;
  const bool rollsBack = user != nullptr && aConnection.transactionOpen;
  aConnection.transactionOpen = false;
  if (rollsBack) {
    command rollback;
    rollback.kind = command_kind::kRollback;
    aConnection.Send({ rollback }, { purpose::kRollback, aNow });
    return;
  }
  if (aConnection.retiring) {
    Discard(aConnection);
    return;
  }
  PumpOrders(aConnection.server, aNow);
  const auto service = aConnection.service;
  Pump(service, aNow);
}

// Closes the connection; the object stays until no caller on the stack can
// refer to it.
void
engine::Discard(connection& aConnection)
{
  auto* state = Find(aConnection.server);
  if (state == nullptr) {
    return;
  }
  auto& all = state->connections;
  const auto found =
    std::find_if(all.begin(), all.end(), [&aConnection](const auto& aOne) {
      return aOne.get() == &aConnection;
    });
  if (found == all.end()) {
    return;
  }
  aConnection.Attach(nullptr);
  mDiscarded.push_back(std::move(*found));
  all.erase(found);
}

server_state*
engine::Find(const upstream::server_id& aServer)
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? nullptr : &found->second;
}

} // namespace currantshed::proxy
