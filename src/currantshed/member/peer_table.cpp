#include "currantshed/member/peer_table.hpp"

#include <algorithm>

namespace currantshed::member {

namespace {

// VMs that one heartbeat names as heard of.
constexpr std::size_t kPeerSampleLimit = 1;
// VMs known by hearsay alone that are kept at a time.
constexpr std::ptrdiff_t kUnconfirmedLimit = 32;
constexpr std::size_t kPastIncarnations = 4;
// How long a word on a lost VM holds unless it is renewed; it may be in the
// second half of that time.
constexpr std::chrono::milliseconds kLostDuration{ 10000 };

// Takes over the sender's incarnation and sequence; false for a heartbeat that
// is older than what has been heard.
bool
Accept(peer_record& aPeer, const heartbeat& aBeat)
{
  if (aPeer.incarnation == aBeat.incarnation) {
    if (aPeer.reported && aBeat.sequence <= aPeer.sequence) {
      return false;
    }
    aPeer.sequence = aBeat.sequence;
    return true;
  }
  auto& pastIncarnations = aPeer.pastIncarnations;
  if (std::find(pastIncarnations.begin(),
                pastIncarnations.end(),
                aBeat.incarnation) != pastIncarnations.end()) {
    return false;
  }
  if (!aPeer.incarnation.empty()) {
    pastIncarnations.push_back(aPeer.incarnation);
  }
  if (pastIncarnations.size() > kPastIncarnations) {
    pastIncarnations.pop_front();
  }
  aPeer.incarnation = aBeat.incarnation;
  aPeer.sequence = aBeat.sequence;
  return true;
}

bool
IsRenewable(const peer_record& aPeer, clock::time_point aNow)
{
  return !aPeer.lostUntil || *aPeer.lostUntil - aNow <= kLostDuration / 2;
}

// The sender's own word goes before the lagging list, but leaving is believed
// from either.
store::vm
Describe(const peer_record& aPeer)
{
  if (!aPeer.reported) {
    return aPeer.listed ? *aPeer.listed : *aPeer.unconfirmed;
  }
  store::vm vm = *aPeer.reported;
  vm.leaving = vm.leaving || (aPeer.listed && aPeer.listed->leaving);
  return vm;
}

} // namespace

peer_table::peer_table(const membership_settings& aSettings)
  : mSettings(aSettings)
{
}

void
peer_table::Listed(const std::vector<store::vm>& aVms, clock::time_point aNow)
{
  absl::flat_hash_set<std::string> ids;
  for (const auto& vm : aVms) {
    if (vm.id == mSettings.self.id) {
      continue;
    }
    ids.insert(vm.id);
    auto& peer = mPeers[vm.id];
    if (!peer.listed) {
      peer.listedAt = aNow;
    }
    peer.listed = vm;
  }
  for (auto& [id, peer] : mPeers) {
    if (!ids.contains(id)) {
      peer.listed.reset();
      peer.suspected = false;
    }
  }
  // A VM that was only listed leaves nothing to describe it by.
  RemoveExpired(aNow);
  mChanged = true;
}

bool
peer_table::RecordHeartbeat(const heartbeat& aBeat, clock::time_point aNow)
{
  auto& peer = mPeers[aBeat.sender.id];
  if (!Accept(peer, aBeat)) {
    return false;
  }
  mChanged = mChanged || peer.reported != aBeat.sender;
  peer.reported = aBeat.sender;
  peer.lastHeartbeatAt = aNow;
  peer.unconfirmed.reset();
  peer.lostUntil.reset();
  peer.suspected = false;
  return true;
}

bool
peer_table::NeedsEvaluation(const std::string& aId) const
{
  return mChanged || !mPeers.at(aId).live;
}

void
peer_table::AddUnconfirmed(const store::vm& aVm, clock::time_point aNow)
{
  if (aVm.id == mSettings.self.id || mPeers.contains(aVm.id)) {
    return;
  }
  const auto unconfirmed =
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aEntry) {
      return aEntry.second.unconfirmed.has_value();
    });
  if (unconfirmed < kUnconfirmedLimit) {
    auto& peer = mPeers[aVm.id];
    peer.unconfirmed = aVm;
    peer.unconfirmedSince = aNow;
  }
}

// A word counts only about the life that is known here, and not against what
// was heard directly.
bool
peer_table::RecordLost(const lost_vm& aWord, clock::time_point aNow)
{
  const auto found = mPeers.find(aWord.id);
  if (found == mPeers.end() || WasHeardRecently(found->second, aNow)) {
    return false;
  }
  auto& peer = found->second;
  const bool otherLife =
    !peer.incarnation.empty() && peer.incarnation != aWord.incarnation;
  if (otherLife || !IsRenewable(peer, aNow)) {
    return false;
  }
  peer.lostUntil = aNow + kLostDuration;
  return true;
}

void
peer_table::Watch(const absl::flat_hash_set<std::string>& aIds,
                  clock::time_point aNow)
{
  const bool all = FullMesh();
  for (auto& [id, peer] : mPeers) {
    if (!all && !peer.suspected && !aIds.contains(id)) {
      peer.monitoredSince.reset();
    } else if (!peer.monitoredSince) {
      peer.monitoredSince = aNow;
    }
  }
}

bool
peer_table::UpdateLiveness(clock::time_point aNow)
{
  bool changed = mChanged;
  mChanged = false;
  for (auto& [id, peer] : mPeers) {
    const bool live = IsLive(peer, aNow);
    changed = changed || live != peer.live;
    peer.live = live;
  }
  return changed;
}

// In a large fleet most VMs hear of a loss by word only.
std::vector<lost_vm>
peer_table::TakeNewLosses(clock::time_point aNow)
{
  std::vector<lost_vm> losses;
  if (FullMesh()) {
    return losses;
  }
  for (auto& [id, peer] : mPeers) {
    const bool lost = peer.listed && peer.monitoredSince && !peer.live;
    if (lost && IsRenewable(peer, aNow)) {
      peer.lostUntil = aNow + kLostDuration;
      peer.suspected = true;
      losses.push_back({ id, peer.incarnation });
    }
  }
  return losses;
}

void
peer_table::RemoveExpired(clock::time_point aNow)
{
  const auto gone = absl::erase_if(mPeers, [&](const auto& aEntry) {
    const auto& peer = aEntry.second;
    const bool unconfirmed =
      peer.unconfirmed && aNow - peer.unconfirmedSince <= mSettings.gracePeriod;
    const bool reported =
      peer.reported && aNow - peer.lastHeartbeatAt <= mSettings.gracePeriod;
    return !peer.listed && !reported && !unconfirmed;
  });
  mChanged = mChanged || gone > 0;
}

clock::time_point
peer_table::NextChange(clock::time_point aNow) const
{
  auto next = clock::time_point::max();
  for (const auto& [id, peer] : mPeers) {
    auto bound = aNow - clock::duration{ 1 };
    if (WasHeardRecently(peer, aNow)) {
      bound = peer.lastHeartbeatAt + mSettings.failureTimeout;
    } else if (peer.monitoredSince && peer.listed) {
      bound = LiveUntil(peer);
    } else if (peer.lostUntil) {
      bound = *peer.lostUntil;
    }
    // A bound still counts as within it, so the change comes just after.
    if (bound >= aNow) {
      next = std::min(next, bound + clock::duration{ 1 });
    }
  }
  return next;
}

std::vector<store::vm>
peer_table::Live() const
{
  std::vector<store::vm> live;
  for (const auto& [id, peer] : mPeers) {
    if (peer.live) {
      live.push_back(Describe(peer));
    }
  }
  return live;
}

std::vector<store::vm>
peer_table::All() const
{
  std::vector<store::vm> all;
  all.reserve(mPeers.size());
  for (const auto& [id, peer] : mPeers) {
    all.push_back(Describe(peer));
  }
  return all;
}

std::vector<store::vm>
peer_table::SampleRecent(std::uint64_t aNumber, clock::time_point aNow) const
{
  std::vector<const store::vm*> reported;
  for (const auto& [id, peer] : mPeers) {
    if (WasHeardRecently(peer, aNow)) {
      reported.push_back(&*peer.reported);
    }
  }
  std::vector<store::vm> few;
  const auto count = std::min(kPeerSampleLimit, reported.size());
  for (std::size_t place = 0; place < count; ++place) {
    few.push_back(
      *reported[(aNumber * kPeerSampleLimit + place) % reported.size()]);
  }
  return few;
}

std::optional<store::vm>
peer_table::Find(const std::string& aId) const
{
  const auto found = mPeers.find(aId);
  if (found == mPeers.end()) {
    return std::nullopt;
  }
  return Describe(found->second);
}

bool
peer_table::IsOverdue(const std::string& aId, clock::time_point aNow) const
{
  const auto& peer = mPeers.at(aId);
  const auto half = mSettings.interval / 2;
  const auto patience = FullMesh() ? mSettings.interval + half : half;
  const bool reported =
    peer.reported && aNow - peer.lastHeartbeatAt <= patience;
  return peer.monitoredSince && !reported;
}

// Whether every VM sends to every other one.
bool
peer_table::FullMesh() const
{
  return mPeers.size() <= mSettings.fanout;
}

bool
peer_table::WasHeardRecently(const peer_record& aPeer,
                             clock::time_point aNow) const
{
  return aPeer.reported &&
         aNow - aPeer.lastHeartbeatAt <= mSettings.failureTimeout;
}

// Until when a watched VM counts as live without another heartbeat. One that
// has only come to be watched gets time to answer.
clock::time_point
peer_table::LiveUntil(const peer_record& aPeer) const
{
  if (aPeer.reported && aPeer.lastHeartbeatAt >= *aPeer.monitoredSince) {
    return aPeer.lastHeartbeatAt + mSettings.failureTimeout;
  }
  return std::max(*aPeer.monitoredSince, aPeer.listedAt) +
         mSettings.gracePeriod;
}

// A VM that does not send here regularly is judged by the list and by what the
// peers say.
bool
peer_table::IsLive(const peer_record& aPeer, clock::time_point aNow) const
{
  if (WasHeardRecently(aPeer, aNow)) {
    return true;
  }
  if (!aPeer.listed) {
    return false;
  }
  if (aPeer.monitoredSince) {
    return aNow <= LiveUntil(aPeer);
  }
  return !aPeer.lostUntil || aNow > *aPeer.lostUntil;
}

} // namespace currantshed::member
