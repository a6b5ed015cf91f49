#include "standin/fleet/group.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace currantshed::standin::fleet {

bool
server::Sheds()
{
  mShedSum += shedPercent;
  const bool sheds = mShedSum >= 100;
  mShedSum -= sheds ? 100 : 0;
  shed += sheds ? 1 : 0;
  return sheds;
}

std::string
server::AppliedPosition() const
{
  const auto term = applied == 0 ? 1 : log[applied - 1].term;
  return std::to_string(term) + "." + std::to_string(applied);
}

bool
server::HasApplied(std::uint64_t aTerm, std::uint64_t aNumber) const
{
  return aNumber == 0 || (aNumber <= applied && log[aNumber - 1].term == aTerm);
}

std::string
server::Read(const std::string& aItem) const
{
  for (auto at = applied; at > 0; --at) {
    if (log[at - 1].item == aItem) {
      return log[at - 1].value;
    }
  }
  return "-";
}

group::group(std::string aName, std::vector<server> aServers)
  : mName(std::move(aName))
  , mServers(std::move(aServers))
  , mPrimary(mServers.front().id)
{
  mServers.front().isPrimary = true;
}

server*
group::Find(const std::string& aId)
{
  const auto found =
    std::find_if(mServers.begin(), mServers.end(), [&aId](const auto& aOne) {
      return aOne.id == aId;
    });
  return found == mServers.end() ? nullptr : &*found;
}

void
group::Commit(server& aAt, const std::vector<record>& aChanges)
{
  for (auto change : aChanges) {
    change.term = std::max(aAt.Term(), aAt.id == mPrimary ? mTerm : 1);
    aAt.log.push_back(std::move(change));
  }
  aAt.applied = aAt.log.size();
  if (aAt.id == mPrimary) {
    Replicate(aAt);
  }
}

bool
group::IsReplicating(const server& aServer) const
{
  return aServer.id != mPrimary && aServer.up && aServer.fencedTerm == 0 &&
         !aServer.isPrimary;
}

void
group::Replicate(const server& aPrimary)
{
  for (auto& one : mServers) {
    if (!IsReplicating(one)) {
      continue;
    }
    // A log that is longer than the primary's has diverged and is discarded.
    if (one.log.size() > aPrimary.log.size()) {
      one.log.clear();
    }
    const auto from = static_cast<std::ptrdiff_t>(one.log.size());
    one.log.insert(
      one.log.end(), aPrimary.log.begin() + from, aPrimary.log.end());
  }
}

void
group::AdvanceReplicas()
{
  const auto& primary = *Find(mPrimary);
  if (!primary.up || !primary.isPrimary) {
    return;
  }
  for (auto& one : mServers) {
    if (IsReplicating(one)) {
      one.applied = std::min(one.log.size(), primary.log.size());
    }
  }
  Replicate(primary);
}

bool
group::Promote(const std::string& aId)
{
  auto* chosen = Find(aId);
  if (chosen == nullptr || !chosen->up) {
    return false;
  }
  if (chosen->id == mPrimary && chosen->isPrimary) {
    return true;
  }
  ++mTerm;
  mPrimary = aId;
  for (auto& one : mServers) {
    one.fencedTerm = 0;
    one.isPrimary = one.id == aId;
    // A server that is down may hold records that the new primary lacks; its
    // log is copied in full when it is back.
    one.log.resize(one.up ? std::min(one.log.size(), chosen->log.size()) : 0);
    one.applied = std::min(one.applied, one.log.size());
  }
  chosen->applied = chosen->log.size();
  return true;
}

void
group::Restart(const std::string& aId)
{
  auto* server = Find(aId);
  if (server == nullptr) {
    return;
  }
  ++server->starts;
  server->isPrimary = false;
  server->fencedTerm = 0;
  server->log.clear();
  server->applied = 0;
}

unsigned
group::CountDuplicates() const
{
  const auto primary =
    std::find_if(mServers.begin(), mServers.end(), [this](const auto& aOne) {
      return aOne.id == mPrimary;
    });
  std::set<std::pair<std::string, std::string>> seen;
  unsigned doubled = 0;
  for (const auto& one : primary->log) {
    doubled += seen.emplace(one.item, one.value).second ? 0 : 1;
  }
  return doubled;
}

} // namespace currantshed::standin::fleet
