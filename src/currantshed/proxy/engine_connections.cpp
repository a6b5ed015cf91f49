// Connections to servers: which may be opened, and their return to the pool.
#include <algorithm>
#include <utility>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Whether only the server that it was sent to can run the request; without
// attributes, a relayed one is taken for such.
bool
IsOnlyHere(const session& aSession)
{
  const auto& request = *aSession.current;
  if (aSession.IsRelay()) {
    return !request.attributes || request.attributes->needsPrimary;
  }
  return request.needsPrimary || !request.floor.position;
}

bool
IsKnownToNeedPrimary(const request& aRequest)
{
  return aRequest.attributes ? aRequest.attributes->needsPrimary
                             : aRequest.needsPrimary;
}

} // namespace

// Returns an idle connection; without one, opens one for the queued requests
// and returns null.
connection*
engine::Acquire(server_state& aServer,
                const session& aSession,
                clock::time_point aNow)
{
  const auto& customer = aSession.current->customer;
  auto* idle = aServer.FindIdle(aSession.values, false, &customer);
  if (!IsWithinLimit(aServer, aSession, idle == nullptr, aNow)) {
    return nullptr;
  }
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
  // A connection can't change its customer: one of another customer is closed
  // to make room.
  if (aVia.IsDirect() && !aCustomer.empty()) {
    mHost.ConnectionChanged(
      "opened", aServer.HasDirectFor(aCustomer) ? "additional" : "first");
    if (auto* other = aServer.ConnectionToClose(aCustomer, aNow)) {
      mHost.ConnectionChanged("closed", "other_customer");
      Discard(*other);
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

// Updates the server's plan for the current fleet and configuration.
server_state&
engine::WithPlan(server_state& aServer)
{
  if (aServer.planEpoch != mPlanEpoch) {
    aServer.planEpoch = mPlanEpoch;
    ++mPlansMade;
    aServer.plan = mPlanner.Plan(aServer.listed.id, MaxConnections(aServer));
    UpdateLimit(aServer);
  }
  return aServer;
}

// Limits the statements in flight where a few connection holders share the
// slots of a server that reports them, and where the order of requests matters:
// what waits inside the server is no longer in that order.
void
engine::UpdateLimit(server_state& aServer) const
{
  const auto& plan = aServer.plan;
  const auto& listed = aServer.listed;
  const bool isShared =
    plan.isHolder && mPlanner.Size() > 1 &&
    !access_planner::EveryVmConnects(MaxConnections(aServer), mPlanner.Size());
  if (listed.slots == 0 || !isShared || !HasClasses(listed.service)) {
    aServer.limit.reset();
    return;
  }
  // The paths of a connection holder are its own and one to each other holder.
  const admit::concurrency_bounds bounds{
    listed.slots,
    static_cast<unsigned>(plan.paths.size()),
    static_cast<unsigned>(plan.connections)
  };
  if (aServer.limit) {
    aServer.limit->SetBounds(bounds);
  } else {
    aServer.limit.emplace(bounds);
  }
}

// Whether the service's routes differ in priority or target.
bool
engine::HasClasses(const std::string& aService) const
{
  const route* first = nullptr;
  for (const auto& [database, one] : mConfiguration->routes) {
    if (one->service != aService) {
      continue;
    }
    if (first == nullptr) {
      first = one.get();
    } else if (one->priority != first->priority ||
               one->target != first->target) {
      return true;
    }
  }
  return false;
}

// Whether the server's concurrency limit lets the request take an idle
// connection, or open one. One opening may exceed the limit: a customer without
// a connection would otherwise wait for as long as others with one have
// requests.
bool
engine::IsWithinLimit(server_state& aServer,
                      const session& aSession,
                      bool aOpens,
                      clock::time_point aNow)
{
  auto& limit = WithPlan(aServer).limit;
  const auto& request = *aSession.current;
  if (!limit || request.statement.kind == statement_kind::kReport) {
    return true;
  }
  if (IsKnownToNeedPrimary(request)) {
    limit->ArrivedOnlyHere(aNow);
  }
  const auto inFlight = aServer.InFlight(aNow);
  const auto counted = aOpens && inFlight > 0 ? inFlight - 1 : inFlight;
  return limit->Permits(counted, IsOnlyHere(aSession), aNow);
}

bool
engine::IsWithinLimitForRead(server_state& aServer,
                             const session& aSession,
                             clock::time_point aNow)
{
  const auto& customer = aSession.current->customer;
  const bool opens =
    aServer.FindIdle(aSession.values, false, &customer) == nullptr;
  return IsWithinLimit(aServer, aSession, opens, aNow);
}

// Whether a request that waits for one certain server is held back by its
// limit.
bool
engine::IsAtLimit(const session& aSession, clock::time_point aNow)
{
  const auto& request = *aSession.current;
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  auto* state = aSession.IsRelay()     ? Find(aSession.relayTarget)
                : request.needsPrimary ? Find(leadership.confirmed.primary)
                                       : nullptr;
  return state != nullptr && !IsWithinLimit(*state, aSession, false, aNow);
}

// Whether a change between these numbers of VMs affects any plan.
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

// Makes no plans on a VM that can't be a connection holder.
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

bool
engine::IsOfCustomer(const connection& aConnection)
{
  return aConnection.IsDirect() && !aConnection.customer.empty();
}

// Tells the shares that a request starts on the connection.
void
engine::NoteUse(connection& aConnection, clock::time_point aNow)
{
  aConnection.takenAt = aNow;
  auto* state = Find(aConnection.server);
  if (state == nullptr || !IsOfCustomer(aConnection)) {
    return;
  }
  const auto& customers = mConfiguration->customers;
  const auto owner = customers == nullptr
                       ? nullptr
                       : customers->FindByName(aConnection.customer);
  std::optional<double> quotaRate;
  if (owner != nullptr && owner->limit) {
    quotaRate = owner->limit->perSecond;
  }
  state->shares.Started(
    aConnection.customer, quotaRate, aNow - aConnection.idleSince, aNow);
}

// Returns a connection that its session no longer needs to the pool. A
// transaction left open on it is rolled back first.
void
engine::ReturnConnection(connection& aConnection, clock::time_point aNow)
{
  auto* user = aConnection.user;
  bool isTurnOver = false;
  auto* state = Find(aConnection.server);
  if (user != nullptr && state != nullptr && IsOfCustomer(aConnection)) {
    state->shares.Returned(aNow - aConnection.takenAt);
    isTurnOver = state->shares.IsTurnOver(aConnection.customer);
  }
  aConnection.user = nullptr;
  aConnection.idleSince = aNow;
  const bool needsRollback = user != nullptr && aConnection.transactionOpen;
  aConnection.transactionOpen = false;
  if (needsRollback) {
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
  DispatchQueued(service, aNow, !isTurnOver);
}

// Closes the connection; the object is kept until no function on the call stack
// can refer to it.
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
