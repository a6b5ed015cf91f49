#include <algorithm>
#include <limits>
#include <utility>

#include "currantshed/group/group_engine.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;

// Maximum number of waiting requests examined per event.
constexpr int kMaxExamined = 32;
// Interval at which waiting requests are examined while no slot is free.
constexpr std::chrono::milliseconds kFullDispatchInterval{ 10 };
// Requests sent per reply: the one that waits for the slot, and the one just
// answered if it continues on another server.
constexpr std::size_t kMaxSentPerFreed = 2;

} // namespace

void
group_engine::DispatchAll(clock::time_point aNow)
{
  DispatchTransactions(aNow);
  // While no slot is free, the queues only need to be examined for requests
  // that have waited too long.
  if (mConnections.HasSlot() ||
      aNow >= mLastFullDispatch + kFullDispatchInterval) {
    mLastFullDispatch = aNow;
    DispatchQueues(std::numeric_limits<std::size_t>::max(), aNow);
  }
}

void
group_engine::DispatchTransactions(clock::time_point aNow)
{
  std::vector<request_id> waiting;
  for (const auto& request : mTransactions.Entries()) {
    waiting.push_back(request.request);
  }
  for (const auto request : waiting) {
    static_cast<void>(TrySend(request, aNow));
  }
}

void
group_engine::DispatchQueues(std::size_t aMaxSent, clock::time_point aNow)
{
  mConnections.BeginPass();
  // All queues in one order of priority. Only the first requests are examined,
  // since those behind them would wait for the same servers.
  std::vector<admit::queued_request> waiting;
  for (const auto* queue : { &mReads, &mFreshReads, &mWrites }) {
    int examined = 0;
    for (const auto& request : queue->Entries()) {
      if (++examined > kMaxExamined) {
        break;
      }
      waiting.push_back(request);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::size_t sent = 0;
  for (const auto& request : waiting) {
    sent += TrySend(request.request, aNow) ? 1 : 0;
    if (sent >= aMaxSent) {
      return;
    }
  }
}

void
group_engine::DispatchFreed(clock::time_point aNow)
{
  if (aNow >= mLastFullDispatch + kFullDispatchInterval) {
    DispatchAll(aNow);
    return;
  }
  DispatchTransactions(aNow);
  DispatchQueues(kMaxSentPerFreed, aNow);
}

bool
group_engine::TrySend(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end() || found->second.currentStage != stage::kQueued) {
    return false;
  }
  auto& requestFlow = *found->second.requestFlow;
  if (const auto pinned = requestFlow.Pinned()) {
    if (!mConnections.Dispatch(*pinned, aNow)) {
      mContext.transactions.Remove(requestFlow.Request().transaction);
      Finish(aRequest, NotRun(requestFlow.Request(), reason::kTransactionLost));
      return false;
    }
    if (!mConnections.CanRun(*pinned)) {
      return false;
    }
    Send(aRequest, *pinned, aNow);
    return true;
  }
  const auto isBegin = requestFlow.Request().kind == operation::kBegin;
  const auto chosen = requestFlow.ChooseServer(
    mConnections.Candidates(requestFlow.ReadOnly(), isBegin, aNow), aNow);
  if (chosen.state == route::availability::kNone) {
    if (auto result = requestFlow.OnNoServer(chosen.why, aNow)) {
      Finish(aRequest, std::move(*result));
    }
    return false;
  }
  if (chosen.state == route::availability::kBusy) {
    return false;
  }
  if (IsTooLate(found->second, aNow)) {
    auto result = NotRun(requestFlow.Request(), reason::kOverloaded);
    result.retryAfter = QueueOf(found->second.queue).RetryAfter(aRequest, aNow);
    Finish(aRequest, std::move(result));
    return false;
  }
  const auto connection =
    mConnections.Acquire(chosen.index, requestFlow.ReadOnly(), aNow);
  if (!connection) {
    return false;
  }
  Send(aRequest, *connection, aNow);
  return true;
}

bool
group_engine::IsTooLate(const entry& aEntry, clock::time_point aNow)
{
  // A request that was sent before may have an unknown outcome to resolve, so
  // it continues.
  const auto wasSent = aEntry.sentAt != clock::time_point{};
  return !wasSent &&
         !QueueOf(aEntry.queue)
            .CanMeetDeadline(WaitingOf(aEntry.requestFlow->Request()), aNow);
}

void
group_engine::Send(request_id aRequest,
                   connection_id aConnection,
                   clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  auto& requestFlow = *entry.requestFlow;
  auto& queue = QueueOf(entry.queue);
  queue.Remove(WaitingOf(requestFlow.Request()));
  queue.Departed(aNow);
  entry.currentStage = stage::kRunning;
  entry.connection = aConnection;
  entry.sentAt = aNow;
  const auto sent = mConnections.Dispatch(aConnection, aNow);
  mConnections.Run(aConnection, aRequest, requestFlow.Compose(*sent));
  mRunning.insert(aRequest);
  if (requestFlow.NeedsStatus()) {
    mPoller.RequireStatusSince(aNow);
  }
}

void
group_engine::ApplyReply(request_id aRequest,
                         reply_outcome aOutcome,
                         clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  mRunning.erase(aRequest);
  mConnections.ApplyFate(entry.connection, aOutcome.fate);
  Apply(aRequest, std::move(aOutcome.next), aNow);
}

void
group_engine::Apply(request_id aRequest, step aStep, clock::time_point aNow)
{
  if (auto* end = std::get_if<finish>(&aStep)) {
    const auto& ended = mEntries.at(aRequest);
    const auto wasSent = ended.sentAt != clock::time_point{};
    if (wasSent && end->reply.verdict == outcome::verdict::kDone) {
      QueueOf(ended.queue).Served(aNow - ended.sentAt);
    }
    Finish(aRequest, std::move(end->reply));
    return;
  }
  auto& entry = mEntries.at(aRequest);
  if (std::holds_alternative<await_status>(aStep)) {
    entry.currentStage = stage::kAwaitingStatus;
    mAwaiting.insert(aRequest);
    return;
  }
  mAwaiting.erase(aRequest);
  entry.currentStage = stage::kQueued;
  if (entry.queue == queue_kind::kTransactions &&
      !entry.requestFlow->Pinned()) {
    // A commit with an unknown outcome is resolved on whichever server is the
    // primary.
    entry.queue = queue_kind::kWrites;
  }
  QueueOf(entry.queue).Requeue(WaitingOf(entry.requestFlow->Request()));
}

void
group_engine::Finish(request_id aRequest, answer aAnswer)
{
  if (auto* open = mContext.transactions.UsedBy(aRequest)) {
    open->user.reset();
  }
  Remove(aRequest);
  mActions.emplace_back(give_answer{ std::move(aAnswer) });
}

void
group_engine::AbortBatch(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end() ||
      found->second.currentStage != stage::kRunning) {
    return;
  }
  upstream::reply indeterminate;
  indeterminate.end = upstream::batch_end::kIndeterminate;
  auto next =
    found->second.requestFlow->Replied(std::move(indeterminate), aNow);
  next.fate = connection_fate::kClose;
  ApplyReply(aRequest, std::move(next), aNow);
}

void
group_engine::Remove(request_id aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  auto& entry = found->second;
  const auto& request = entry.requestFlow->Request();
  // A transaction is lost when its request ends while a batch of it may have
  // run.
  if (auto* open = mContext.transactions.UsedBy(aRequest)) {
    open->user.reset();
    if (entry.currentStage != stage::kQueued) {
      mContext.transactions.Abandon(open->id);
    }
  }
  QueueOf(entry.queue).Remove(WaitingOf(request));
  mDeadlines.erase({ request.deadline, aRequest });
  mRunning.erase(aRequest);
  mAwaiting.erase(aRequest);
  mEntries.erase(found);
}

} // namespace currantshed::group
