#include "currantshed/member/news_box.hpp"

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
constexpr std::size_t kLostLimit = 32;

} // namespace

bool
news_box::SetTerm(const term_news& aNews)
{
  auto& entry = mTerms[aNews.group];
  const bool same =
    aNews.term == entry.news.term && aNews.primary == entry.news.primary;
  if (aNews.term < entry.news.term || same) {
    return false;
  }
  entry = { aNews, kTermRepeats };
  return true;
}

void
news_box::SetSuspicion(const failover::suspicion& aWord)
{
  auto& entry = mSuspicions[aWord.group];
  entry.word = aWord;
  entry.left.reset();
  if (aWord.primary.empty()) {
    entry.left = kWithdrawalRepeats;
  }
}

void
news_box::SetLost(const lost_vm& aWord)
{
  mLost[aWord.id] = { aWord.incarnation, kLostRepeats };
}

void
news_box::Fill(heartbeat& aBeat)
{
  FillSuspicions(aBeat);
  FillTerms(aBeat);
  FillLost(aBeat);
}

void
news_box::FillSuspicions(heartbeat& aBeat)
{
  for (auto& [group, entry] : mSuspicions) {
    aBeat.suspicions.push_back(entry.word);
    if (entry.left) {
      --*entry.left;
    }
  }
  absl::erase_if(mSuspicions, [](const auto& aEntry) {
    return aEntry.second.left && *aEntry.second.left == 0;
  });
}

void
news_box::FillTerms(heartbeat& aBeat)
{
  for (auto& [group, entry] : mTerms) {
    if (entry.left > 0) {
      --entry.left;
      aBeat.terms.push_back(entry.news);
    }
  }
}

void
news_box::FillLost(heartbeat& aBeat)
{
  for (auto& [id, entry] : mLost) {
    if (aBeat.lost.size() == kLostLimit) {
      break;
    }
    --entry.left;
    aBeat.lost.push_back({ id, entry.incarnation });
  }
  absl::erase_if(mLost,
                 [](const auto& aEntry) { return aEntry.second.left == 0; });
}

} // namespace currantshed::member
