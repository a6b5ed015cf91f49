#include "currantshed/group/links.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Whether a server goes by the same name at the same address.
bool
IsSamePlace(const member& aLeft, const member& aRight)
{
  return aLeft.id == aRight.id && aLeft.address == aRight.address &&
         aLeft.port == aRight.port;
}

} // namespace

links::links(context& aContext, std::vector<action>& aActions)
  : mContext(aContext)
  , mActions(aActions)
{
}

std::vector<request_id>
links::Configure(const description& aGroup)
{
  auto torn = CloseAllBut(aGroup);
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
  return torn;
}

std::vector<request_id>
links::CloseAllBut(const description& aGroup)
{
  std::vector<request_id> torn;
  std::vector<connection_id> closed;
  for (const auto& [id, link] : mLinks) {
    const auto* known = Find(link.server);
    const auto stays =
      known != nullptr &&
      std::any_of(aGroup.members.begin(),
                  aGroup.members.end(),
                  [known](const member& aMember) {
                    return IsSamePlace(aMember, known->description);
                  });
    if (stays) {
      continue;
    }
    closed.push_back(id);
    if (link.running && link.request) {
      torn.push_back(*link.request);
    }
  }
  for (const auto id : closed) {
    Close(id);
  }
  return torn;
}

bool
links::CanRun(connection_id aConnection) const
{
  // Whatever holds the slots may wait in the server for a lock of this very
  // transaction, so its own statements never wait for them.
  const auto found = mLinks.find(aConnection);
  return found != mLinks.end() && !found->second.running;
}

std::optional<dispatch>
links::Dispatch(connection_id aConnection, clock::time_point aNow) const
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
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
links::Run(connection_id aConnection,
           request_id aRequest,
           std::vector<upstream::statement> aStatements)
{
  const auto found = mLinks.find(aConnection);
  if (found != mLinks.end()) {
    found->second.request = aRequest;
    Start(aConnection, found->second, std::move(aStatements));
  }
}

void
links::Opened(connection_id aConnection)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Opened(aConnection);
  }
}

void
links::Failed(connection_id aConnection, clock::time_point aNow)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Failed(aConnection, aNow);
  }
  mLinks.erase(found);
}

std::optional<ended_batch>
links::Ended(connection_id aConnection,
             std::uint64_t aBatch,
             upstream::batch_end aEnd)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end() || !found->second.running ||
      found->second.batch != aBatch) {
    return std::nullopt;
  }
  auto& link = found->second;
  link.running = false;
  if (auto* server = Find(link.server)) {
    server->pool.BatchEnded(aConnection);
  }
  const auto request = std::exchange(link.request, std::nullopt);
  if (std::exchange(link.cleaning, false)) {
    Settle(aConnection,
           aEnd == upstream::batch_end::kComplete ? connection_fate::kKeep
                                                  : connection_fate::kClose);
    return ended_batch{};
  }
  if (link.orphaned) {
    Close(aConnection);
    return ended_batch{};
  }
  return ended_batch{ request };
}

void
links::Settle(connection_id aConnection, connection_fate aFate)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
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
links::Orphan(connection_id aConnection)
{
  const auto found = mLinks.find(aConnection);
  if (found != mLinks.end()) {
    found->second.orphaned = true;
    found->second.request.reset();
  }
}

void
links::Close(connection_id aConnection)
{
  if (mLinks.contains(aConnection)) {
    Erase(aConnection);
    mActions.emplace_back(close_connection{ aConnection });
  }
}

std::optional<request_id>
links::Lost(connection_id aConnection)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
    return std::nullopt;
  }
  const auto request = found->second.request;
  Erase(aConnection);
  return request;
}

links::server*
links::Find(const upstream::server_id& aServer)
{
  const auto found = std::find_if(
    mServers.begin(), mServers.end(), [&aServer](const server& aCandidate) {
      return aCandidate.description.id == aServer;
    });
  return found == mServers.end() ? nullptr : &*found;
}

const links::server*
links::Find(const upstream::server_id& aServer) const
{
  const auto found = std::find_if(
    mServers.begin(), mServers.end(), [&aServer](const server& aCandidate) {
      return aCandidate.description.id == aServer;
    });
  return found == mServers.end() ? nullptr : &*found;
}

void
links::Erase(connection_id aConnection)
{
  const auto found = mLinks.find(aConnection);
  if (found == mLinks.end()) {
    return;
  }
  if (auto* server = Find(found->second.server)) {
    server->pool.Remove(aConnection);
  }
  mLinks.erase(found);
}

void
links::Start(connection_id aConnection,
             link& aLink,
             std::vector<upstream::statement> aStatements)
{
  aLink.running = true;
  aLink.batch = ++mLastBatch;
  if (auto* server = Find(aLink.server)) {
    server->pool.BatchStarted(aConnection);
  }
  mActions.emplace_back(
    run_batch{ aConnection, aLink.batch, std::move(aStatements) });
}

} // namespace currantshed::group
