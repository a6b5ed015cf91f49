#include "currantshed/failover/detector.hpp"

#include <algorithm>
#include <chrono>

#include <absl/container/flat_hash_set.h>

namespace currantshed::failover {

namespace {

using std::chrono::milliseconds;

// Lifetime of a peer's suspicion, which it repeats with each heartbeat.
constexpr milliseconds kSuspicionLifetime{ 700 };
constexpr std::size_t kMinPoolers = 2;
// How long a server may hold a higher term than the primary in force before the
// group is moved above it.
constexpr milliseconds kHigherTermAfter{ 5000 };
// How long a primary marked as leaving must have been in force before it is
// replaced, so that a change of the primary does not immediately follow another
// one.
constexpr milliseconds kLeavingAfter{ 200 };
// Factor by which a primary must be unreachable for longer if its replicas
// still hear from it: a lossy link to the poolers is no reason to depose it.
constexpr int kReachedFactor = 5;
// Number of records that a replica may lack when a planned change begins.
constexpr position::log_index kMaxMissingRecords = 64;

bool
HasLost(const upstream::server_status& aStatus,
        position::term_id aTerm,
        milliseconds aSuspectAfter)
{
  return aStatus.role == upstream::server_role::kReplica &&
         aStatus.term == aTerm && aStatus.sincePrimary &&
         *aStatus.sincePrimary > aSuspectAfter;
}

// Whether a majority answers and a server that is not marked as leaving has
// caught up. Servers marked as leaving still count for the majority, since
// fences and log records are not new work.
bool
CanMove(const server_monitor& aMonitor,
        const server_view& aPrimary,
        clock::time_point aNow)
{
  std::size_t fresh = 0;
  bool caughtUp = false;
  for (const auto& [id, server] : aMonitor.Servers()) {
    if (!aMonitor.IsFresh(server, aNow)) {
      continue;
    }
    ++fresh;
    if (server.member.leaving) {
      continue;
    }
    const auto& stored = server.status->stored;
    const auto& goal = aPrimary.status->stored;
    caughtUp = caughtUp || (stored.term == goal.term &&
                            stored.index + kMaxMissingRecords >= goal.index);
  }
  return caughtUp && fresh >= aMonitor.Majority();
}

bool
HasHigherTerm(const server_monitor& aMonitor,
              const primary_ref& aPrimary,
              clock::time_point aNow)
{
  const auto& servers = aMonitor.Servers();
  return std::any_of(servers.begin(), servers.end(), [&](const auto& aEntry) {
    return aMonitor.IsFresh(aEntry.second, aNow) &&
           aEntry.second.status->term > aPrimary.term;
  });
}

} // namespace

detector::detector(const coordinator_settings& aSettings)
  : mDomain(aSettings.failureDomain)
  , mSuspectAfter(aSettings.suspectAfter)
  , mLostAfter(aSettings.probeInterval)
  , mNoPrimaryAfter(aSettings.validity + 2 * aSettings.suspectAfter)
  , mOwners(aSettings.owners)
{
}

void
detector::PeerSuspects(const std::string& aVm,
                       const std::string& aFailureDomain,
                       const suspicion& aReport,
                       clock::time_point aNow)
{
  if (aReport.primary.empty()) {
    mPeerSuspicions.erase(aVm);
    return;
  }
  mPeerSuspicions[aVm] = { aFailureDomain, aReport, aNow };
}

cause
detector::Assess(const server_monitor& aMonitor,
                 const primary_ref& aPrimary,
                 clock::time_point aNow)
{
  absl::erase_if(mPeerSuspicions, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > kSuspicionLifetime;
  });
  // A new primary, which may be known from a peer's announcement only, gets the
  // full time before it is suspected.
  if (aPrimary != mAssessedPrimary) {
    mAssessedPrimary = aPrimary;
    mLost = {};
    mNoPrimary = {};
    mLeaving = {};
    mHigherTerm = {};
  }
  const bool inForce = aMonitor.IsInForce(aPrimary, aNow);
  const auto* primary = aMonitor.Find(aPrimary.server);
  // Servers that were frozen report once that they lost the primary, before
  // they read what it sent in the meantime.
  mLost.Set(aPrimary.term > 0 && LostByServers(aMonitor, aPrimary, aNow), aNow);
  mNoPrimary.Set(!inForce && aMonitor.SeesNoPrimaryByMajority(aNow), aNow);
  mHigherTerm.Set(inForce && HasHigherTerm(aMonitor, aPrimary, aNow), aNow);
  mLeaving.Set(inForce && primary->member.leaving &&
                 CanMove(aMonitor, *primary, aNow),
               aNow);
  if (!aMonitor.HasMajority(aNow)) {
    return cause::kNone;
  }
  if (mLost.For(mLostAfter, aNow) || LostByPoolers(aMonitor, aPrimary, aNow)) {
    return cause::kLost;
  }
  if (mNoPrimary.For(mNoPrimaryAfter, aNow)) {
    return cause::kNoPrimary;
  }
  if (mLeaving.For(kLeavingAfter, aNow)) {
    return cause::kLeaving;
  }
  if (mHigherTerm.For(kHigherTermAfter, aNow)) {
    return cause::kHigherTerm;
  }
  return cause::kNone;
}

clock::time_point
detector::NextTick() const noexcept
{
  auto next = clock::time_point::max();
  if (mLost.holds) {
    next = std::min(next, mLost.since + mLostAfter);
  }
  if (mNoPrimary.holds) {
    next = std::min(next, mNoPrimary.since + mNoPrimaryAfter);
  }
  if (mLeaving.holds) {
    next = std::min(next, mLeaving.since + clock::duration{ kLeavingAfter });
  }
  if (mHigherTerm.holds) {
    next =
      std::min(next, mHigherTerm.since + clock::duration{ kHigherTermAfter });
  }
  return next;
}

void
detector::sustained_condition::Set(bool aHolds, clock::time_point aNow)
{
  if (aHolds && !holds) {
    since = aNow;
  }
  holds = aHolds;
}

bool
detector::sustained_condition::For(clock::duration aTime,
                                   clock::time_point aNow) const
{
  return holds && aNow - since >= aTime;
}

// A majority of the group without the primary reports the loss directly.
// Whatever the primary believes, nothing more can be confirmed in its term.
bool
detector::LostByServers(const server_monitor& aMonitor,
                        const primary_ref& aPrimary,
                        clock::time_point aNow) const
{
  const auto& servers = aMonitor.Servers();
  const auto lost =
    std::count_if(servers.begin(), servers.end(), [&](const auto& aEntry) {
      return aEntry.first != aPrimary.server &&
             aMonitor.IsFresh(aEntry.second, aNow) &&
             HasLost(*aEntry.second.status, aPrimary.term, mSuspectAfter);
    });
  return static_cast<std::size_t>(lost) >= aMonitor.Majority();
}

bool
detector::LostByPoolers(const server_monitor& aMonitor,
                        const primary_ref& aPrimary,
                        clock::time_point aNow) const
{
  const auto factor =
    aMonitor.IsReachedByMajority(aPrimary, aNow) ? kReachedFactor : 1;
  if (aPrimary.term == 0 || !aMonitor.IsUnreachableFor(
                              aPrimary.server, factor * mSuspectAfter, aNow)) {
    return false;
  }
  absl::flat_hash_set<std::string> domains{ mDomain };
  std::size_t poolers = 1;
  for (const auto& [vm, peer] : mPeerSuspicions) {
    if (peer.report.term == aPrimary.term &&
        peer.report.primary == aPrimary.server) {
      domains.insert(peer.failureDomain);
      ++poolers;
    }
  }
  absl::flat_hash_set<std::string> serverDomains;
  for (const auto& [id, server] : aMonitor.Servers()) {
    serverDomains.insert(server.member.failureDomain);
  }
  const auto all = std::min<std::size_t>(mOwners, serverDomains.size());
  return poolers >= kMinPoolers && domains.size() >= all / 2 + 1;
}

} // namespace currantshed::failover
