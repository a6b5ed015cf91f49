#include <algorithm>
#include <utility>

#include "currantshed/group/statement_connections.hpp"

namespace currantshed::group {

namespace {

// Connections of a server that open transactions must leave to other requests.
constexpr unsigned kReservedForOthers = 2;

unsigned
MaxTransactions(unsigned aConnections)
{
  return aConnections > kReservedForOthers ? aConnections - kReservedForOthers
                                           : 1;
}

} // namespace

std::vector<route::candidate>
statement_connections::Candidates(bool aReadOnly,
                                  bool aForTransaction,
                                  clock::time_point aNow) const
{
  std::vector<route::candidate> candidates;
  candidates.reserve(mServers.size());
  for (const auto& server : mServers) {
    const auto& pool = server.pool;
    const auto hasRoom =
      !aForTransaction || mContext.transactions.CountOn(server.description.id) <
                            MaxTransactions(pool.Limits().connections);
    route::candidate candidate;
    candidate.server = server.description.id;
    candidate.failureDomain = server.description.failureDomain;
    candidate.leaving = server.description.leaving;
    candidate.inUse =
      pool.Running() + server.claimsReadOnly + server.claimsReadWrite;
    candidate.slots = pool.Limits().slots;
    candidate.hasCapacity = hasRoom && candidate.inUse < candidate.slots &&
                            pool.CanProvide(aReadOnly, aNow);
    candidate.connected = pool.Idle(aReadOnly).has_value();
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool
statement_connections::HasSlot() const
{
  return std::any_of(
    mServers.begin(), mServers.end(), [](const server& aServer) {
      return aServer.pool.HasSlot();
    });
}

void
statement_connections::BeginPass()
{
  for (auto& server : mServers) {
    server.claimsReadOnly = 0;
    server.claimsReadWrite = 0;
  }
}

std::optional<connection_id>
statement_connections::Acquire(std::size_t aCandidate,
                               bool aReadOnly,
                               clock::time_point aNow)
{
  auto& server = mServers[aCandidate];
  if (const auto idle = server.pool.Idle(aReadOnly)) {
    server.pool.CheckOut(*idle);
    return idle;
  }
  auto& claims = aReadOnly ? server.claimsReadOnly : server.claimsReadWrite;
  ++claims;
  if (server.pool.Opening(aReadOnly) >= claims) {
    return std::nullopt;
  }
  if (server.pool.MayOpen(aNow)) {
    Open(server, aReadOnly);
    return std::nullopt;
  }
  const auto other = server.pool.Idle(!aReadOnly);
  if (other && aNow >= server.pool.RetryAt()) {
    Close(*other);
    Open(server, aReadOnly);
  }
  return std::nullopt;
}

void
statement_connections::OpenSpares(clock::time_point aNow)
{
  const auto primary = mContext.tracker.Primary(aNow);
  for (auto& server : mServers) {
    if (server.description.leaving) {
      for (const auto readOnly : { true, false }) {
        while (const auto idle = server.pool.Idle(readOnly)) {
          Close(*idle);
        }
      }
      continue;
    }
    if (mContext.tracker.Find(server.description.id) == nullptr) {
      continue;
    }
    OpenSpare(server, true, aNow);
    const auto& limits = server.pool.Limits();
    const auto isPrimary = primary && primary->server == server.description.id;
    if (isPrimary || limits.connections > limits.slots) {
      OpenSpare(server, false, aNow);
    }
  }
}

void
statement_connections::Open(server& aServer, bool aReadOnly)
{
  const auto id = ++mLastConnection;
  aServer.pool.Add(id, aReadOnly);
  connection_state opened;
  opened.server = aServer.description.id;
  opened.readOnly = aReadOnly;
  mStates.emplace(id, std::move(opened));
  mActions.emplace_back(
    open_connection{ id, aServer.description.id, aReadOnly });
}

void
statement_connections::OpenSpare(server& aServer,
                                 bool aReadOnly,
                                 clock::time_point aNow)
{
  const auto& pool = aServer.pool;
  if (!pool.Idle(aReadOnly) && pool.Opening(aReadOnly) == 0 && pool.HasSlot() &&
      pool.MayOpen(aNow)) {
    Open(aServer, aReadOnly);
  }
}

} // namespace currantshed::group
