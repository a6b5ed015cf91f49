#include "currantshed/group/statement_connections.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Whether both have the same identifier and address.
bool
IsSameEndpoint(const member& aLeft, const member& aRight)
{
  return aLeft.id == aRight.id && aLeft.address == aRight.address &&
         aLeft.port == aRight.port;
}

} // namespace

statement_connections::statement_connections(context& aContext,
                                             std::vector<action>& aActions)
  : mContext(aContext)
  , mActions(aActions)
{
}

std::vector<request_id>
statement_connections::Configure(const description& aGroup)
{
  auto interrupted = CloseAllBut(aGroup);
  std::vector<server> servers;
  for (const auto& member : aGroup.members) {
    server next;
    next.description = member;
    if (auto* known = Find(member.id)) {
      next.pool = std::move(known->pool);
    }
    next.pool.SetLimits(pool::ComputePoolLimits(
      member.connections, member.slots, mContext.settings.takeoverReserve));
    servers.push_back(std::move(next));
  }
  mServers = std::move(servers);
  return interrupted;
}

std::vector<request_id>
statement_connections::CloseAllBut(const description& aGroup)
{
  std::vector<request_id> interrupted;
  std::vector<connection_id> closed;
  for (const auto& [id, state] : mStates) {
    const auto* known = Find(state.server);
    const auto stays =
      known != nullptr &&
      std::any_of(aGroup.members.begin(),
                  aGroup.members.end(),
                  [known](const member& aMember) {
                    return IsSameEndpoint(aMember, known->description);
                  });
    if (stays) {
      continue;
    }
    closed.push_back(id);
    if (state.running && state.request) {
      interrupted.push_back(*state.request);
    }
  }
  for (const auto id : closed) {
    Close(id);
  }
  return interrupted;
}

bool
statement_connections::CanRun(connection_id aConnection) const
{
  // Batches that occupy the slots may wait in the server for a lock of this
  // transaction, so its own statements never wait for a slot.
  const auto found = mStates.find(aConnection);
  return found != mStates.end() && !found->second.running;
}

std::optional<dispatch>
statement_connections::Dispatch(connection_id aConnection,
                                clock::time_point aNow) const
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return std::nullopt;
  }
  const auto* server = Find(found->second.server);
  if (server == nullptr) {
    return std::nullopt;
  }
  return dispatch{
    aConnection, found->second.server, server->description.failureDomain, aNow
  };
}

void
statement_connections::Run(connection_id aConnection,
                           request_id aRequest,
                           std::vector<upstream::statement> aStatements)
{
  const auto found = mStates.find(aConnection);
  if (found != mStates.end()) {
    found->second.request = aRequest;
    Start(aConnection, found->second, std::move(aStatements));
  }
}

void
statement_connections::Opened(connection_id aConnection)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Opened(aConnection);
  }
}

void
statement_connections::Failed(connection_id aConnection, clock::time_point aNow)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Failed(aConnection, aNow);
  }
  mStates.erase(found);
}

std::optional<ended_batch>
statement_connections::Ended(connection_id aConnection,
                             std::uint64_t aBatch,
                             upstream::batch_end aEnd)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end() || !found->second.running ||
      found->second.batch != aBatch) {
    return std::nullopt;
  }
  auto& state = found->second;
  state.running = false;
  if (auto* server = Find(state.server)) {
    server->pool.BatchEnded(aConnection);
  }
  const auto request = std::exchange(state.request, std::nullopt);
  if (std::exchange(state.cleaning, false)) {
    ApplyFate(aConnection,
              aEnd == upstream::batch_end::kComplete ? connection_fate::kKeep
                                                     : connection_fate::kClose);
    return ended_batch{};
  }
  if (state.orphaned) {
    Close(aConnection);
    return ended_batch{};
  }
  return ended_batch{ request };
}

void
statement_connections::ApplyFate(connection_id aConnection,
                                 connection_fate aFate)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return;
  }
  auto* server = Find(found->second.server);
  if (server == nullptr || aFate == connection_fate::kClose) {
    Close(aConnection);
    return;
  }
  if (aFate == connection_fate::kKeep) {
    server->pool.CheckIn(aConnection);
    return;
  }
  if (aFate == connection_fate::kRollBack) {
    found->second.cleaning = true;
    Start(aConnection, found->second, { mContext.dialect->Rollback() });
  }
}

void
statement_connections::Orphan(connection_id aConnection)
{
  const auto found = mStates.find(aConnection);
  if (found != mStates.end()) {
    found->second.orphaned = true;
    found->second.request.reset();
  }
}

void
statement_connections::Close(connection_id aConnection)
{
  if (mStates.contains(aConnection)) {
    Erase(aConnection);
    mActions.emplace_back(close_connection{ aConnection });
  }
}

std::optional<request_id>
statement_connections::Lost(connection_id aConnection)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return std::nullopt;
  }
  const auto request = found->second.request;
  Erase(aConnection);
  return request;
}

statement_connections::server*
statement_connections::Find(const upstream::server_id& aServer)
{
  const auto found = std::find_if(
    mServers.begin(), mServers.end(), [&aServer](const server& aCandidate) {
      return aCandidate.description.id == aServer;
    });
  return found == mServers.end() ? nullptr : &*found;
}

const statement_connections::server*
statement_connections::Find(const upstream::server_id& aServer) const
{
  const auto found = std::find_if(
    mServers.begin(), mServers.end(), [&aServer](const server& aCandidate) {
      return aCandidate.description.id == aServer;
    });
  return found == mServers.end() ? nullptr : &*found;
}

void
statement_connections::Erase(connection_id aConnection)
{
  const auto found = mStates.find(aConnection);
  if (found == mStates.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Remove(aConnection);
  }
  mStates.erase(found);
}

void
statement_connections::Start(connection_id aConnection,
                             connection_state& aState,
                             std::vector<upstream::statement> aStatements)
{
  aState.running = true;
  aState.batch = ++mLastBatch;
  if (auto* server = Find(aState.server)) {
    server->pool.BatchStarted(aConnection);
  }
  mActions.emplace_back(
    run_batch{ aConnection, aState.batch, std::move(aStatements) });
}

} // namespace currantshed::group
