#include "currantshed/failover/server_monitor.hpp"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace currantshed::failover {

namespace {

// A single failed probe may be a lost message.
constexpr unsigned kFailuresToSuspect = 2;

bool
SeesNoPrimary(const upstream::server_status& aStatus,
              std::chrono::milliseconds aSuspectAfter)
{
  switch (aStatus.role) {
    case upstream::server_role::kFenced:
      return true;
    case upstream::server_role::kReplica:
      return !aStatus.sincePrimary || *aStatus.sincePrimary > aSuspectAfter;
    case upstream::server_role::kPrimary:
      return false;
  }
  return false;
}

} // namespace

server_monitor::server_monitor(const coordinator_settings& aSettings)
  : mProbeInterval(aSettings.probeInterval)
  , mProbeTimeout(aSettings.probeTimeout)
  , mSuspectAfter(aSettings.suspectAfter)
{
}

void
server_monitor::Configure(const group::description& aGroup,
                          clock::time_point aNow)
{
  absl::flat_hash_set<upstream::server_id> listed;
  for (const auto& member : aGroup.members) {
    listed.insert(member.id);
    const auto [place, added] = mServers.try_emplace(member.id);
    if (added) {
      place->second.silentSince = aNow;
      place->second.nextProbe = aNow;
    }
    place->second.member = member;
  }
  absl::erase_if(mServers, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
}

void
server_monitor::Answered(const upstream::server_id& aServer,
                         const upstream::server_status& aStatus,
                         clock::time_point aAskedAt,
                         clock::time_point aNow)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  auto& server = found->second;
  if (server.probing && aAskedAt >= *server.probing) {
    server.probing.reset();
  }
  // A late answer to an older probe contains nothing new.
  if (server.status &&
      (aAskedAt < server.askedAt || aStatus.term < server.status->term)) {
    return;
  }
  server.status = aStatus;
  server.askedAt = aAskedAt;
  server.failures = 0;
  server.silentSince = aNow;
}

void
server_monitor::Failed(const upstream::server_id& aServer,
                       clock::time_point aNow)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end() || !found->second.probing) {
    return;
  }
  auto& server = found->second;
  server.probing.reset();
  ++server.failures;
  server.nextProbe = std::max(server.nextProbe, aNow);
}

void
server_monitor::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  for (auto& [id, server] : mServers) {
    if (server.probing && aNow - *server.probing >= mProbeTimeout) {
      Failed(id, aNow);
    }
    if (!server.probing && aNow >= server.nextProbe) {
      server.probing = aNow;
      server.nextProbe = aNow + mProbeInterval;
      aOut.emplace_back(probe{ id });
    }
  }
}

clock::time_point
server_monitor::NextTick() const noexcept
{
  auto next = clock::time_point::max();
  for (const auto& [id, server] : mServers) {
    const auto due =
      server.probing ? *server.probing + mProbeTimeout : server.nextProbe;
    next = std::min(next, due);
  }
  return next;
}

const server_view*
server_monitor::Find(const upstream::server_id& aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? nullptr : &found->second;
}

bool
server_monitor::IsFresh(const server_view& aServer,
                        clock::time_point aNow) const
{
  return aServer.status &&
         aNow - aServer.askedAt <= mSuspectAfter + mProbeTimeout;
}

bool
server_monitor::IsUnreachable(const upstream::server_id& aServer,
                              clock::time_point aNow) const
{
  return IsUnreachableFor(aServer, mSuspectAfter, aNow);
}

bool
server_monitor::IsUnreachableFor(const upstream::server_id& aServer,
                                 clock::duration aTime,
                                 clock::time_point aNow) const
{
  const auto* server = Find(aServer);
  return server != nullptr && server->failures >= kFailuresToSuspect &&
         aNow - server->silentSince > aTime;
}

bool
server_monitor::IsReachedByMajority(const primary_ref& aPrimary,
                                    clock::time_point aNow) const
{
  const auto hearing =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
      return aEntry.first != aPrimary.server && IsFresh(aEntry.second, aNow) &&
             aEntry.second.status->term == aPrimary.term &&
             !SeesNoPrimary(*aEntry.second.status, mSuspectAfter);
    });
  return static_cast<std::size_t>(hearing) + 1 >= Majority();
}

std::size_t
server_monitor::Majority() const noexcept
{
  return mServers.size() / 2 + 1;
}

bool
server_monitor::HasMajority(clock::time_point aNow) const
{
  const auto fresh =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow);
    });
  return static_cast<std::size_t>(fresh) >= Majority();
}

position::term_id
server_monitor::HighestTerm() const
{
  position::term_id highest = 0;
  for (const auto& [id, server] : mServers) {
    highest = std::max(highest, server.status ? server.status->term : 0);
  }
  return highest;
}

primary_ref
server_monitor::AcceptedPrimary() const
{
  primary_ref primary;
  for (const auto& [id, server] : mServers) {
    if (server.status &&
        server.status->role == upstream::server_role::kPrimary &&
        server.status->term > primary.term) {
      primary = { server.status->term, id };
    }
  }
  const auto inTerm =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
      const auto& status = aEntry.second.status;
      return status && status->term == primary.term;
    });
  const bool accepted = static_cast<std::size_t>(inTerm) >= Majority();
  return accepted ? primary : primary_ref{};
}

bool
server_monitor::IsInForce(const primary_ref& aPrimary,
                          clock::time_point aNow) const
{
  const auto* primary = Find(aPrimary.server);
  if (primary == nullptr || !IsFresh(*primary, aNow) ||
      primary->status->term != aPrimary.term ||
      primary->status->role != upstream::server_role::kPrimary) {
    return false;
  }
  const auto inTerm =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             aEntry.second.status->term == aPrimary.term;
    });
  return static_cast<std::size_t>(inTerm) >= Majority();
}

bool
server_monitor::SeesNoPrimaryByMajority(clock::time_point aNow) const
{
  const auto without =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aEntry) {
      return IsFresh(aEntry.second, aNow) &&
             SeesNoPrimary(*aEntry.second.status, mSuspectAfter);
    });
  return static_cast<std::size_t>(without) >= Majority();
}

} // namespace currantshed::failover
