#include <algorithm>
#include <limits>
#include <utility>

#include "currantshed/group/group_engine.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;

// Waiting requests that are looked at for each event.
constexpr int kMostLookedAt = 32;
// While all slots are taken, waiting requests are looked at this often.
constexpr std::chrono::milliseconds kLookInterval{ 10 };
// Requests sent for one reply: the one that waits for the place, and the one
// that was answered itself if it goes on elsewhere.
constexpr std::size_t kSentForOneFreed = 2;

} // namespace

void
group_engine::Pump(clock::time_point aNow)
{
  PumpTransactions(aNow);
  // While all slots are taken, the queues only need a look for requests that
  // have waited for too long.
  if (mLinks.HasSlot() || aNow >= mLooked + kLookInterval) {
    mLooked = aNow;
    PumpQueues(std::numeric_limits<std::size_t>::max(), aNow);
  }
}

void
group_engine::PumpTransactions(clock::time_point aNow)
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
group_engine::PumpQueues(std::size_t aMostSent, clock::time_point aNow)
{
  mLinks.BeginPass();
  // All lanes in one order; the first ones only, since those behind them
  // would wait for the same servers.
  std::vector<admit::waiting> waiting;
  for (const auto* queue : { &mReads, &mFreshReads, &mWrites }) {
    int looked = 0;
    for (const auto& request : queue->Entries()) {
      if (++looked > kMostLookedAt) {
        break;
      }
      waiting.push_back(request);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::size_t sent = 0;
  for (const auto& request : waiting) {
    sent += TrySend(request.request, aNow) ? 1 : 0;
    if (sent >= aMostSent) {
      return;
    }
  }
}

void
group_engine::PumpFreed(clock::time_point aNow)
{
  if (aNow >= mLooked + kLookInterval) {
    Pump(aNow);
    return;
  }
  PumpTransactions(aNow);
  PumpQueues(kSentForOneFreed, aNow);
}

bool
group_engine::TrySend(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end() || found->second.at != stage::kQueued) {
    return false;
  }
  auto& way = *found->second.way;
  if (const auto pinned = way.Pinned()) {
    if (!mLinks.Dispatch(*pinned, aNow)) {
      mContext.transactions.Remove(way.Request().transaction);
      Finish(aRequest, NotRun(way.Request(), reason::kTransactionLost));
      return false;
    }
    if (!mLinks.CanRun(*pinned)) {
      return false;
    }
    Send(aRequest, *pinned, aNow);
    return true;
  }
  const auto isBegin = way.Request().kind == operation::kBegin;
  const auto chosen =
    way.Place(mLinks.Candidates(way.ReadOnly(), isBegin, aNow), aNow);
  if (chosen.state == route::availability::kNone) {
    if (auto made = way.GiveUp(chosen.why, aNow)) {
      Finish(aRequest, std::move(*made));
    }
    return false;
  }
  if (chosen.state == route::availability::kBusy) {
    return false;
  }
  if (IsTooLate(found->second, aNow)) {
    auto made = NotRun(way.Request(), reason::kOverloaded);
    made.retryAfter = QueueOf(found->second.waitsIn).RetryAfter(aRequest, aNow);
    Finish(aRequest, std::move(made));
    return false;
  }
  const auto connection = mLinks.Acquire(chosen.index, way.ReadOnly(), aNow);
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
         !QueueOf(aEntry.waitsIn)
            .CanMeetDeadline(WaitingOf(aEntry.way->Request()), aNow);
}

void
group_engine::Send(request_id aRequest,
                   connection_id aConnection,
                   clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  auto& way = *entry.way;
  auto& queue = QueueOf(entry.waitsIn);
  queue.Remove(WaitingOf(way.Request()));
  queue.Departed(aNow);
  entry.at = stage::kRunning;
  entry.connection = aConnection;
  entry.sentAt = aNow;
  const auto sent = mLinks.Dispatch(aConnection, aNow);
  mLinks.Run(aConnection, aRequest, way.Compose(*sent));
  mRunning.insert(aRequest);
  if (way.WantsWord()) {
    mRounds.Want(aNow);
  }
}

void
group_engine::Take(request_id aRequest, turn aTurn, clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  mRunning.erase(aRequest);
  mLinks.Settle(entry.connection, aTurn.fate);
  Apply(aRequest, std::move(aTurn.next), aNow);
}

void
group_engine::Apply(request_id aRequest, step aStep, clock::time_point aNow)
{
  if (auto* end = std::get_if<finish>(&aStep)) {
    const auto& ended = mEntries.at(aRequest);
    const auto wasSent = ended.sentAt != clock::time_point{};
    if (wasSent && end->reply.verdict == outcome::verdict::kDone) {
      QueueOf(ended.waitsIn).Served(aNow - ended.sentAt);
    }
    Finish(aRequest, std::move(end->reply));
    return;
  }
  auto& entry = mEntries.at(aRequest);
  if (std::holds_alternative<await_word>(aStep)) {
    entry.at = stage::kAwaiting;
    mAwaiting.insert(aRequest);
    return;
  }
  mAwaiting.erase(aRequest);
  entry.at = stage::kQueued;
  if (entry.waitsIn == lane::kTransactions && !entry.way->Pinned()) {
    // A commit in doubt is resolved wherever the primary is.
    entry.waitsIn = lane::kWrites;
  }
  QueueOf(entry.waitsIn).Requeue(WaitingOf(entry.way->Request()));
}

void
group_engine::Finish(request_id aRequest, answer aAnswer)
{
  if (auto* open = mContext.transactions.UsedBy(aRequest)) {
    open->user.reset();
  }
  Forget(aRequest);
  mActions.emplace_back(give_answer{ std::move(aAnswer) });
}

void
group_engine::Tear(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end() || found->second.at != stage::kRunning) {
    return;
  }
  upstream::reply torn;
  torn.end = upstream::batch_end::kIndeterminate;
  auto next = found->second.way->Replied(std::move(torn), aNow);
  next.fate = connection_fate::kClose;
  Take(aRequest, std::move(next), aNow);
}

void
group_engine::Forget(request_id aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  auto& entry = found->second;
  const auto& request = entry.way->Request();
  // A transaction whose request goes while it may have changed it is lost.
  if (auto* open = mContext.transactions.UsedBy(aRequest)) {
    open->user.reset();
    if (entry.at != stage::kQueued) {
      mContext.transactions.Abandon(open->id);
    }
  }
  QueueOf(entry.waitsIn).Remove(WaitingOf(request));
  mDeadlines.erase({ request.deadline, aRequest });
  mRunning.erase(aRequest);
  mAwaiting.erase(aRequest);
  mEntries.erase(found);
}

} // namespace currantshed::group
