#include "currantshed/member/peer_table.hpp"

#include <algorithm>

namespace currantshed::member {

namespace {

// Number of recently heard VMs that one heartbeat includes.
constexpr std::size_t kPeerSampleLimit = 1;
// Maximum number of unconfirmed VMs that are kept at a time.
constexpr std::ptrdiff_t kUnconfirmedLimit = 32;
constexpr std::size_t kPastIncarnations = 4;
// How long a report of a lost VM is valid. It can be renewed in the second half
// of that time.
constexpr std::chrono::milliseconds kLostDuration{ 10000 };

// Stores the incarnation and sequence of the heartbeat. Returns false for a
// replayed or reordered one: its sequence is not newer, or its incarnation was
// replaced by a later one.
bool
Accept(peer_record& aPeer, const heartbeat& aHeartbeat)
{
  if (aPeer.incarnation == aHeartbeat.incarnation) {
    if (aPeer.reported && aHeartbeat.sequence <= aPeer.sequence) {
      return false;
    }
    aPeer.sequence = aHeartbeat.sequence;
    return true;
  }
  auto& pastIncarnations = aPeer.pastIncarnations;
  if (std::find(pastIncarnations.begin(),
                pastIncarnations.end(),
                aHeartbeat.incarnation) != pastIncarnations.end()) {
    return false;
  }
  if (!aPeer.incarnation.empty()) {
    pastIncarnations.push_back(aPeer.incarnation);
  }
  if (pastIncarnations.size() > kPastIncarnations) {
    pastIncarnations.pop_front();
  }
  aPeer.incarnation = aHeartbeat.incarnation;
  aPeer.sequence = aHeartbeat.sequence;
  return true;
}

bool
IsRenewable(const peer_record& aPeer, clock::time_point aNow)
{
  return !aPeer.lostUntil || *aPeer.lostUntil - aNow <= kLostDuration / 2;
}

// The VM's own description takes precedence over the listing, which lags. The
// VM counts as leaving if either says so.
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
  // Also removes VMs that were known from the listing only.
  RemoveExpired(aNow);
  mChanged = true;
}

bool
peer_table::RecordHeartbeat(const heartbeat& aHeartbeat, clock::time_point aNow)
{
  auto& peer = mPeers[aHeartbeat.sender.id];
  if (!Accept(peer, aHeartbeat)) {
    return false;
  }
  mChanged = mChanged || peer.reported != aHeartbeat.sender;
  peer.reported = aHeartbeat.sender;
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

// Ignored for another incarnation than the known one, and for a VM that was
// heard from directly within the failure timeout.
bool
peer_table::RecordLost(const lost_vm& aReport, clock::time_point aNow)
{
  const auto found = mPeers.find(aReport.id);
  if (found == mPeers.end() || WasHeardRecently(found->second, aNow)) {
    return false;
  }
  auto& peer = found->second;
  const bool otherIncarnation =
    !peer.incarnation.empty() && peer.incarnation != aReport.incarnation;
  if (otherIncarnation || !IsRenewable(peer, aNow)) {
    return false;
  }
  peer.lostUntil = aNow + kLostDuration;
  return true;
}

void
peer_table::SetMonitored(const absl::flat_hash_set<std::string>& aIds,
                         clock::time_point aNow)
{
  const bool isFullMesh = FullMesh();
  for (auto& [id, peer] : mPeers) {
    if (!isFullMesh && !peer.suspected && !aIds.contains(id)) {
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

// With a full mesh every VM detects the failure itself. In a larger fleet most
// VMs learn of it only from these reports.
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
  const auto removed = absl::erase_if(mPeers, [&](const auto& aEntry) {
    const auto& peer = aEntry.second;
    const bool unconfirmed =
      peer.unconfirmed && aNow - peer.unconfirmedSince <= mSettings.gracePeriod;
    const bool reported =
      peer.reported && aNow - peer.lastHeartbeatAt <= mSettings.gracePeriod;
    return !peer.listed && !reported && !unconfirmed;
  });
  mChanged = mChanged || removed > 0;
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
    // The VM still counts as live at the bound itself, so the change happens
    // one tick after it.
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
  std::vector<store::vm> isFullMesh;
  isFullMesh.reserve(mPeers.size());
  for (const auto& [id, peer] : mPeers) {
    isFullMesh.push_back(Describe(peer));
  }
  return isFullMesh;
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
  std::vector<store::vm> sample;
  const auto count = std::min(kPeerSampleLimit, reported.size());
  for (std::size_t index = 0; index < count; ++index) {
    sample.push_back(
      *reported[(aNumber * kPeerSampleLimit + index) % reported.size()]);
  }
  return sample;
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
  const auto maxAge = FullMesh() ? mSettings.interval + half : half;
  const bool reported = peer.reported && aNow - peer.lastHeartbeatAt <= maxAge;
  return peer.monitoredSince && !reported;
}

// Whether the fleet is small enough for every VM to send to every other one.
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

// Until when a monitored VM counts as live without another heartbeat. A VM that
// has become monitored only recently gets the grace period to answer.
clock::time_point
peer_table::LiveUntil(const peer_record& aPeer) const
{
  if (aPeer.reported && aPeer.lastHeartbeatAt >= *aPeer.monitoredSince) {
    return aPeer.lastHeartbeatAt + mSettings.failureTimeout;
  }
  return std::max(*aPeer.monitoredSince, aPeer.listedAt) +
         mSettings.gracePeriod;
}

// A VM that is not monitored here is assessed by the listing and by reports of
// peers.
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
