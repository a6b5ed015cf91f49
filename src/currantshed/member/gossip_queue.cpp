#include "currantshed/member/gossip_queue.hpp"

#include <cstddef>

namespace currantshed::member {

namespace {

// Each term update is repeated in this many heartbeats, so that one lost
// message does not hide it.
constexpr unsigned kTermRepeats = 10;
// A withdrawn suspicion is repeated in this many heartbeats.
constexpr unsigned kWithdrawalRepeats = 5;
// Each VM repeats a lost VM in this many heartbeats. With four random receivers
// per heartbeat, the loss reaches a whole fleet.
constexpr unsigned kLostRepeats = 6;
// Maximum number of lost VMs in one heartbeat.
constexpr std::size_t kMaxLost = 32;

} // namespace

bool
gossip_queue::SetTerm(const term_update& aUpdate)
{
  auto& entry = mTerms[aUpdate.group];
  const bool isSame = aUpdate.term == entry.update.term &&
                      aUpdate.primary == entry.update.primary;
  if (aUpdate.term < entry.update.term || isSame) {
    return false;
  }
  entry = { aUpdate, kTermRepeats };
  return true;
}

void
gossip_queue::SetSuspicion(const failover::suspicion& aUpdate)
{
  auto& entry = mSuspicions[aUpdate.group];
  entry.latest = aUpdate;
  entry.remaining.reset();
  if (aUpdate.primary.empty()) {
    entry.remaining = kWithdrawalRepeats;
  }
}

void
gossip_queue::SetLost(const lost_vm& aUpdate)
{
  mLost[aUpdate.id] = { aUpdate.incarnation, kLostRepeats };
}

void
gossip_queue::Fill(heartbeat& aHeartbeat)
{
  FillSuspicions(aHeartbeat);
  FillTerms(aHeartbeat);
  FillLost(aHeartbeat);
}

void
gossip_queue::FillSuspicions(heartbeat& aHeartbeat)
{
  for (auto& [group, entry] : mSuspicions) {
    aHeartbeat.suspicions.push_back(entry.latest);
    if (entry.remaining) {
      --*entry.remaining;
    }
  }
  absl::erase_if(mSuspicions, [](const auto& aEntry) {
    return aEntry.second.remaining && *aEntry.second.remaining == 0;
  });
}

void
gossip_queue::FillTerms(heartbeat& aHeartbeat)
{
  for (auto& [group, entry] : mTerms) {
    if (entry.remaining > 0) {
      --entry.remaining;
      aHeartbeat.terms.push_back(entry.update);
    }
  }
}

void
gossip_queue::FillLost(heartbeat& aHeartbeat)
{
  for (auto& [id, entry] : mLost) {
    if (aHeartbeat.lost.size() == kMaxLost) {
      break;
    }
    --entry.remaining;
    aHeartbeat.lost.push_back({ id, entry.incarnation });
  }
  absl::erase_if(
    mLost, [](const auto& aEntry) { return aEntry.second.remaining == 0; });
}

} // namespace currantshed::member
