#include "currantshed/member/gossip_queue.hpp"

#include <cstddef>

namespace currantshed::member {

namespace {

// A term goes out with this many heartbeats, so that one lost message does
// not hide it.
constexpr unsigned kTermRepeats = 10;
// So does the withdrawal of a suspicion.
constexpr unsigned kWithdrawalRepeats = 5;
// Each VM passes a loss on this often: with four random receivers a time it
// reaches a whole fleet.
constexpr unsigned kLostRepeats = 6;
// Losses in one heartbeat.
constexpr std::size_t kLostLimit = 32;

} // namespace

bool
gossip_queue::SetTerm(const term_update& aUpdate)
{
  auto& entry = mTerms[aUpdate.group];
  const bool same = aUpdate.term == entry.update.term &&
                    aUpdate.primary == entry.update.primary;
  if (aUpdate.term < entry.update.term || same) {
    return false;
  }
  entry = { aUpdate, kTermRepeats };
  return true;
}

void
gossip_queue::SetSuspicion(const failover::suspicion& aWord)
{
  auto& entry = mSuspicions[aWord.group];
  entry.latest = aWord;
  entry.remaining.reset();
  if (aWord.primary.empty()) {
    entry.remaining = kWithdrawalRepeats;
  }
}

void
gossip_queue::SetLost(const lost_vm& aWord)
{
  mLost[aWord.id] = { aWord.incarnation, kLostRepeats };
}

void
gossip_queue::Fill(heartbeat& aBeat)
{
  FillSuspicions(aBeat);
  FillTerms(aBeat);
  FillLost(aBeat);
}

void
gossip_queue::FillSuspicions(heartbeat& aBeat)
{
  for (auto& [group, entry] : mSuspicions) {
    aBeat.suspicions.push_back(entry.latest);
    if (entry.remaining) {
      --*entry.remaining;
    }
  }
  absl::erase_if(mSuspicions, [](const auto& aEntry) {
    return aEntry.second.remaining && *aEntry.second.remaining == 0;
  });
}

void
gossip_queue::FillTerms(heartbeat& aBeat)
{
  for (auto& [group, entry] : mTerms) {
    if (entry.remaining > 0) {
      --entry.remaining;
      aBeat.terms.push_back(entry.update);
    }
  }
}

void
gossip_queue::FillLost(heartbeat& aBeat)
{
  for (auto& [id, entry] : mLost) {
    if (aBeat.lost.size() == kLostLimit) {
      break;
    }
    --entry.remaining;
    aBeat.lost.push_back({ id, entry.incarnation });
  }
  absl::erase_if(
    mLost, [](const auto& aEntry) { return aEntry.second.remaining == 0; });
}

} // namespace currantshed::member
