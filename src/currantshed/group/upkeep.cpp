#include <algorithm>
#include <utility>

#include "currantshed/group/group_engine.hpp"

namespace currantshed::group {

void
group_engine::SpreadNews(clock::time_point aNow)
{
  if (mContext.tracker.Version() == mVersionSeen) {
    return;
  }
  mVersionSeen = mContext.tracker.Version();
  const std::vector<request_id> waiting(mAwaiting.begin(), mAwaiting.end());
  for (const auto request : waiting) {
    const auto found = mEntries.find(request);
    if (found == mEntries.end()) {
      continue;
    }
    if (auto next = found->second.way->Heard(aNow)) {
      Apply(request, std::move(*next), aNow);
    }
  }
  if (mContext.tracker.Primary(aNow)) {
    mContext.primarySeenAt = aNow;
  }
  const auto term = mContext.tracker.Term();
  if (term && term->term > mTermSeen) {
    mTermSeen = term->term;
    for (const auto id : mContext.transactions.Outdated(mTermSeen)) {
      mContext.transactions.Abandon(id);
    }
    TearOvertaken(aNow);
  }
}

void
group_engine::Expire(clock::time_point aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const auto request = mDeadlines.begin()->second;
    auto& entry = mEntries.at(request);
    auto made = entry.way->Expired(entry.at);
    const auto connection = entry.connection;
    const auto isRunning = entry.at == stage::kRunning;
    Forget(request);
    if (isRunning) {
      mLinks.Close(connection);
    }
    mActions.emplace_back(give_answer{ std::move(made) });
  }
}

void
group_engine::TearOvertaken(clock::time_point aNow)
{
  std::vector<request_id> overtaken;
  for (const auto request : mRunning) {
    if (mEntries.at(request).way->IsOvertaken(aNow)) {
      overtaken.push_back(request);
    }
  }
  for (const auto request : overtaken) {
    Tear(request, aNow);
  }
}

void
group_engine::EndTransactions(clock::time_point)
{
  for (const auto connection : mContext.transactions.TakeAbandoned()) {
    // What may run on it is left to the server, which drops the transaction.
    mLinks.Close(connection);
  }
}

void
group_engine::Ask(clock::time_point aNow)
{
  for (const auto& server : mRounds.Due(Demand(), aNow)) {
    mActions.emplace_back(ask_status{ server });
  }
}

demand
group_engine::Demand() const
{
  return { !mAwaiting.empty(), mEntries.size() };
}

void
group_engine::Follow(clock::time_point aNow)
{
  Pump(aNow);
  Conclude(aNow);
}

void
group_engine::FollowFreed(clock::time_point aNow)
{
  PumpFreed(aNow);
  Conclude(aNow);
}

void
group_engine::FollowEntered(request_id aRequest, clock::time_point aNow)
{
  static_cast<void>(TrySend(aRequest, aNow));
  Conclude(aNow);
}

void
group_engine::Conclude(clock::time_point aNow)
{
  EndTransactions(aNow);
  Ask(aNow);
}

} // namespace currantshed::group
