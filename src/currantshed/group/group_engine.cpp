#include "currantshed/group/group_engine.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Interval at which waiting requests are examined for conditions that no event
// reports.
constexpr std::chrono::milliseconds kExamineInterval{ 10 };
// How long a transaction may be idle once the pooler is draining: half of the 2
// s deadline of the writes that wait for the rows it has locked.
constexpr std::chrono::milliseconds kDrainingIdleTimeout{ 1000 };

} // namespace

group_engine::group_engine(const engine_settings& aSettings)
  : mContext(aSettings)
  , mConnections(mContext, mActions)
  , mPoller(aSettings)
  , mReads(aSettings.queueLimit)
  , mFreshReads(aSettings.queueLimit)
  , mWrites(aSettings.queueLimit)
  , mTransactions(aSettings.queueLimit)
{
}

void
group_engine::Configure(const description& aGroup, clock::time_point aNow)
{
  std::vector<upstream::server_id> servers;
  for (const auto& member : aGroup.members) {
    servers.push_back(member.id);
  }
  mContext.transactionLimit = aGroup.transactionLimit;
  mContext.tracker.SetMembers(servers);
  mPoller.SetMembers(servers);
  for (const auto request : mConnections.Configure(aGroup)) {
    AbortBatch(request, aNow);
  }
  AfterEvent(aNow);
}

void
group_engine::Cancel(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  if (found->second.currentStage == stage::kRunning) {
    mConnections.Orphan(found->second.connection);
    if (const auto* open = mContext.transactions.UsedBy(aRequest)) {
      mContext.transactions.Remove(open->id);
    }
  }
  Remove(aRequest);
  AfterEvent(aNow);
}

void
group_engine::ConnectionOpened(connection_id aConnection,
                               clock::time_point aNow)
{
  mConnections.Opened(aConnection);
  AfterFreed(aNow);
}

void
group_engine::ConnectionFailed(connection_id aConnection,
                               clock::time_point aNow)
{
  mConnections.Failed(aConnection, aNow);
  AfterEvent(aNow);
}

void
group_engine::ConnectionLost(connection_id aConnection, clock::time_point aNow)
{
  if (const auto request = mConnections.Lost(aConnection)) {
    AbortBatch(*request, aNow);
  }
  if (const auto* open = mContext.transactions.OnConnection(aConnection)) {
    mContext.transactions.Remove(open->id);
  }
  AfterEvent(aNow);
}

void
group_engine::Replied(connection_id aConnection,
                      std::uint64_t aBatch,
                      upstream::reply aReply,
                      clock::time_point aNow)
{
  const auto ended = mConnections.Ended(aConnection, aBatch, aReply.end);
  if (ended && ended->request) {
    const auto found = mEntries.find(*ended->request);
    if (found != mEntries.end()) {
      auto& requestFlow = *found->second.requestFlow;
      ApplyReply(
        *ended->request, requestFlow.Replied(std::move(aReply), aNow), aNow);
      NotifyWaiters(aNow);
    }
  }
  AfterFreed(aNow);
}

void
group_engine::StatusArrived(const upstream::server_id& aServer,
                            const upstream::server_status& aStatus,
                            clock::time_point aAskedAt,
                            clock::time_point aNow)
{
  mContext.tracker.Record(aServer, aStatus, aAskedAt);
  mPoller.Answered(aServer);
  NotifyWaiters(aNow);
  AfterEvent(aNow);
}

void
group_engine::StatusFailed(const upstream::server_id& aServer,
                           clock::time_point aNow)
{
  mPoller.Failed(aServer);
  AfterEvent(aNow);
}

void
group_engine::Drain(clock::time_point aNow)
{
  mDraining = true;
  AfterEvent(aNow);
}

// How long an open transaction may be idle.
std::chrono::milliseconds
group_engine::TransactionIdle() const noexcept
{
  const auto usual = mContext.settings.transactionIdle;
  return mDraining ? std::min(usual, kDrainingIdleTimeout) : usual;
}

void
group_engine::Tick(clock::time_point aNow)
{
  Expire(aNow);
  AbortStaleBatches(aNow);
  const auto overdue = mContext.transactions.Overdue(
    aNow - mContext.transactionLimit, aNow - TransactionIdle());
  for (const auto id : overdue) {
    mContext.transactions.Abandon(id);
  }
  mConnections.OpenSpares(aNow);
  AfterEvent(aNow);
}

clock::time_point
group_engine::NextTick() const noexcept
{
  auto next = mPoller.NextDue(PollDemand());
  if (!mDeadlines.empty()) {
    next = std::min(next, mDeadlines.begin()->first);
  }
  if (const auto overdue = mContext.transactions.NextOverdue(
        mContext.transactionLimit, TransactionIdle())) {
    next = std::min(next, *overdue);
  }
  const auto someQueued = !mReads.Entries().empty() ||
                          !mFreshReads.Entries().empty() ||
                          !mWrites.Entries().empty();
  if (someQueued) {
    next = std::min(next, mLastFullDispatch + kExamineInterval);
  }
  return next;
}

std::size_t
group_engine::Pending() const noexcept
{
  return mEntries.size() + mContext.transactions.Size();
}

std::vector<action>
group_engine::TakeActions()
{
  return std::exchange(mActions, {});
}

} // namespace currantshed::group
