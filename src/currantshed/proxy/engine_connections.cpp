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
  auto* idle = aServer.FindIdle(aSession.values, false, &customer);
  if (idle != nullptr || mOnlyIdle) {
    return idle;
  }
  if (const auto* way = WithPlan(aServer).PathToOpen(aNow, customer)) {
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
    if (auto* least = aServer.LeastRecentlyUsed(aCustomer)) {
      Discard(*least);
    }
  }
  auto made =
    std::make_unique<connection>(aServer.listed.id,
                                 aServer.listed.service,
                                 aVia.vm,
                                 aVia.IsDirect() ? aCustomer : std::string(),
                                 static_cast<connection_listener&>(*this),
                                 aNow);
  auto& place = *made;
  aServer.connections.push_back(std::move(made));
  mMaintained.insert(aServer.listed.id);
  place.Attach(mOpener.Open(aServer.listed, aVia, place.customer, place));
}

std::size_t
engine::MaxConnections(const server_state& aServer) const
{
  const auto found = mConfiguration->services.find(aServer.listed.service);
  return found == mConfiguration->services.end() ? 1
                                                 : found->second.maxConnections;
}

// The server, with a plan for the fleet and the configuration as they are now.
server_state&
engine::WithPlan(server_state& aServer)
{
  if (aServer.planEpoch != mPlanEpoch) {
    aServer.planEpoch = mPlanEpoch;
    ++mPlansMade;
    aServer.plan = mPlanner.Plan(aServer.listed.id, MaxConnections(aServer));
  }
  return aServer;
}

// Whether plans depend on which of the two numbers of VMs there are.
bool
engine::AffectsPlans(std::size_t aBefore, std::size_t aNow) const
{
  if (aBefore == aNow) {
    return false;
  }
  if (aBefore <= 1 || aNow <= 1) {
    return true;
  }
  const auto fewer = std::min(aBefore, aNow);
  const auto& services = mConfiguration->services;
  return std::any_of(
    services.begin(), services.end(), [fewer](const auto& aEntry) {
      return access_planner::EveryVmConnects(aEntry.second.maxConnections,
                                             fewer);
    });
}

void
engine::InvalidatePlans(clock::time_point aNow)
{
  ++mPlanEpoch;
  mHeldServers.reset();
  mNextMaintenance = aNow;
}

void
engine::IndexServers()
{
  mByService.clear();
  for (auto& [id, state] : mServers) {
    mByService[state.listed.service].push_back(&state);
  }
  mHeldServers.reset();
}

// A VM that can't hold any has no plan made for it to find that out.
void
engine::ListHeldServers()
{
  mHeldServers.emplace();
  for (const auto& [service, states] : mByService) {
    for (auto* state : states) {
      if (mPlanner.MayBeHolder(MaxConnections(*state)) &&
          WithPlan(*state).plan.isHolder) {
        mHeldServers->push_back(state);
      }
    }
  }
  std::sort(mHeldServers->begin(),
            mHeldServers->end(),
            [](const auto* aOne, const auto* aTwo) {
              return aOne->listed.id < aTwo->listed.id;
            });
}

const std::vector<server_state*>&
engine::ServersOf(const std::string& aService) const
{
  static const std::vector<server_state*> sNone;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? sNone : found->second;
}

// The session has done with the connection. A transaction left open on it is
// rolled back first.
void
engine::ReturnConnection(connection& aConnection, clock::time_point aNow)
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
  DispatchControls(aConnection.server, aNow);
  const auto service = aConnection.service;
  DispatchQueued(service, aNow);
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
