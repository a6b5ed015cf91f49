#include <algorithm>
#include <utility>

#include "currantshed/group/group_engine.hpp"

namespace currantshed::group {

void
group_engine::NotifyWaiters(clock::time_point aNow)
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
    if (auto next = found->second.requestFlow->OnStatusUpdate(aNow)) {
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
    AbortStaleBatches(aNow);
  }
}

void
group_engine::Expire(clock::time_point aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const auto request = mDeadlines.begin()->second;
    auto& entry = mEntries.at(request);
    auto result = entry.requestFlow->Expired(entry.currentStage);
    const auto connection = entry.connection;
    const auto isRunning = entry.currentStage == stage::kRunning;
    Remove(request);
    if (isRunning) {
      mConnections.Close(connection);
    }
    mActions.emplace_back(give_answer{ std::move(result) });
  }
}

void
group_engine::AbortStaleBatches(clock::time_point aNow)
{
  std::vector<request_id> stale;
  for (const auto request : mRunning) {
    if (mEntries.at(request).requestFlow->ShouldAbort(aNow)) {
      stale.push_back(request);
    }
  }
  for (const auto request : stale) {
    AbortBatch(request, aNow);
  }
}

void
group_engine::EndTransactions(clock::time_point)
{
  for (const auto connection : mContext.transactions.TakeAbandoned()) {
    // A batch that may run on it is left to the server, which rolls the
    // transaction back.
    mConnections.Close(connection);
  }
}

void
group_engine::PollStatus(clock::time_point aNow)
{
  for (const auto& server : mPoller.TakeDue(PollDemand(), aNow)) {
    mActions.emplace_back(request_status{ server });
  }
}

poll_demand
group_engine::PollDemand() const
{
  return { !mAwaiting.empty(), mEntries.size() };
}

void
group_engine::AfterEvent(clock::time_point aNow)
{
  DispatchAll(aNow);
  FinishEvent(aNow);
}

void
group_engine::AfterFreed(clock::time_point aNow)
{
  DispatchFreed(aNow);
  FinishEvent(aNow);
}

void
group_engine::AfterSubmit(request_id aRequest, clock::time_point aNow)
{
  static_cast<void>(TrySend(aRequest, aNow));
  FinishEvent(aNow);
}

void
group_engine::FinishEvent(clock::time_point aNow)
{
  EndTransactions(aNow);
  PollStatus(aNow);
}

} // namespace currantshed::group
