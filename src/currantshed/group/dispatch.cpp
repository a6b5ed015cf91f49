#include <algorithm>
#include <limits>
#include <utility>

#include "currantshed/group/group_engine.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;

// Waiting requests that are looked at for each event.
constexpr int kMaxExamined = 32;
// While all slots are taken, waiting requests are looked at this often.
constexpr std::chrono::milliseconds kFullDispatchInterval{ 10 };
// Requests sent for one reply: the one that waits for the place, and the one
// that was answered itself if it goes on elsewhere.
constexpr std::size_t kMaxSentPerFreed = 2;

} // namespace

void
group_engine::DispatchAll(clock::time_point aNow)
{
  DispatchTransactions(aNow);
  // While all slots are taken, the queues only need a look for requests that
  // have waited for too long.
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
  // All lanes in one order; the first ones only, since those behind them
  // would wait for the same servers.
  std::vector<admit::waiting> waiting;
  for (const auto* queue : { &mReads, &mFreshReads, &mWrites }) {
    int looked = 0;
    for (const auto& request : queue->Entries()) {
      if (++looked > kMaxExamined) {
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
    if (auto made = requestFlow.OnNoServer(chosen.why, aNow)) {
      Finish(aRequest, std::move(*made));
    }
    return false;
  }
  if (chosen.state == route::availability::kBusy) {
    return false;
  }
  if (IsTooLate(found->second, aNow)) {
    auto made = NotRun(requestFlow.Request(), reason::kOverloaded);
    made.retryAfter = QueueOf(found->second.queue).RetryAfter(aRequest, aNow);
    Finish(aRequest, std::move(made));
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
  // What was sent before may have to be resolved, and goes on.
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
                         reply_outcome aTurn,
                         clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  mRunning.erase(aRequest);
  mConnections.ApplyFate(entry.connection, aTurn.fate);
  Apply(aRequest, std::move(aTurn.next), aNow);
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
    // A commit in doubt is resolved wherever the primary is.
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
  upstream::reply torn;
  torn.end = upstream::batch_end::kTorn;
  auto next = found->second.requestFlow->Replied(std::move(torn), aNow);
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
  // A transaction whose request goes while it may have changed it is lost.
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
