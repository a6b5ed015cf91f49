#include "currantshed/group/group_engine.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

using outcome::reason;

// Waiting requests that are looked at for each event.
constexpr int kMostLookedAt = 32;
// While requests wait for what no event tells, they are looked at this often.
constexpr std::chrono::milliseconds kLookInterval{ 10 };

} // namespace

group_engine::group_engine(const engine_settings& aSettings)
  : mContext(aSettings)
  , mLinks(mContext, mActions)
  , mRounds(aSettings)
  , mReads(aSettings.queueLimit)
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
  mContext.board.SetMembers(servers);
  mRounds.SetMembers(servers);
  for (const auto request : mLinks.Configure(aGroup)) {
    Tear(request, aNow);
  }
  Follow(aNow);
}

void
group_engine::Cancel(request_id aRequest, clock::time_point aNow)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  if (found->second.at == stage::kRunning) {
    mLinks.Orphan(found->second.connection);
    if (const auto* open = mContext.transactions.UsedBy(aRequest)) {
      mContext.transactions.Remove(open->id);
    }
  }
  Forget(aRequest);
  Follow(aNow);
}

void
group_engine::ConnectionOpened(connection_id aConnection,
                               clock::time_point aNow)
{
  mLinks.Opened(aConnection);
  Follow(aNow);
}

void
group_engine::ConnectionFailed(connection_id aConnection,
                               clock::time_point aNow)
{
  mLinks.Failed(aConnection, aNow);
  Follow(aNow);
}

void
group_engine::ConnectionLost(connection_id aConnection, clock::time_point aNow)
{
  mLinks.Lost(aConnection);
  if (const auto* open = mContext.transactions.OnConnection(aConnection)) {
    mContext.transactions.Remove(open->id);
  }
  Follow(aNow);
}

void
group_engine::Replied(connection_id aConnection,
                      std::uint64_t aBatch,
                      upstream::reply aReply,
                      clock::time_point aNow)
{
  const auto ended = mLinks.Ended(aConnection, aBatch, aReply.end);
  if (ended && ended->request) {
    const auto found = mEntries.find(*ended->request);
    if (found != mEntries.end()) {
      auto& way = *found->second.way;
      Take(*ended->request, way.Replied(std::move(aReply), aNow), aNow);
      SpreadNews(aNow);
    }
  }
  Follow(aNow);
}

void
group_engine::StatusArrived(const upstream::server_id& aServer,
                            const upstream::server_status& aStatus,
                            clock::time_point aAskedAt,
                            clock::time_point aNow)
{
  mContext.board.Record(aServer, aStatus, aAskedAt);
  mRounds.Answered(aServer);
  SpreadNews(aNow);
  Follow(aNow);
}

void
group_engine::StatusFailed(const upstream::server_id& aServer,
                           clock::time_point aNow)
{
  mRounds.Failed(aServer);
  Follow(aNow);
}

void
group_engine::Drain(clock::time_point aNow)
{
  mDraining = true;
  Follow(aNow);
}

void
group_engine::Tick(clock::time_point aNow)
{
  Expire(aNow);
  TearOvertaken(aNow);
  const auto idleSince = aNow - mContext.settings.transactionIdle;
  for (const auto id : mContext.transactions.IdleSince(idleSince)) {
    mContext.transactions.Abandon(id);
  }
  mLinks.KeepSpares(aNow);
  Follow(aNow);
}

clock::time_point
group_engine::NextTick() const noexcept
{
  auto next = mRounds.NextDue(SomeoneWaits());
  if (!mDeadlines.empty()) {
    next = std::min(next, mDeadlines.begin()->first);
  }
  if (!mOvertaken.empty()) {
    next = std::min(next, mOvertaken.begin()->first);
  }
  if (const auto oldest = mContext.transactions.OldestUse()) {
    next = std::min(next, *oldest + mContext.settings.transactionIdle);
  }
  if (!mReads.Entries().empty() || !mWrites.Entries().empty()) {
    next = std::min(next, mLooked + kLookInterval);
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

void
group_engine::Pump(clock::time_point aNow)
{
  PumpTransactions(aNow);
  // While all slots are taken, the queues only need a look for requests that
  // have waited for too long.
  if (mLinks.HasSlot() || aNow >= mLooked + kLookInterval) {
    mLooked = aNow;
    PumpQueues(aNow);
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
group_engine::PumpQueues(clock::time_point aNow)
{
  mLinks.BeginPass();
  // Both lanes by deadline; the first ones only, since those behind them
  // would wait for the same servers.
  std::vector<timed_request> waiting;
  for (const auto* queue : { &mReads, &mWrites }) {
    int looked = 0;
    for (const auto& request : queue->Entries()) {
      if (++looked > kMostLookedAt) {
        break;
      }
      waiting.emplace_back(request.deadline, request.request);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [deadline, request] : waiting) {
    static_cast<void>(TrySend(request, aNow));
  }
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
  if (chosen.state == route::standing::kNone) {
    if (auto made = way.GiveUp(chosen.why, aNow)) {
      Finish(aRequest, std::move(*made));
    }
    return false;
  }
  if (chosen.state == route::standing::kBusy) {
    return false;
  }
  const auto connection = mLinks.Acquire(chosen.index, way.ReadOnly(), aNow);
  if (!connection) {
    return false;
  }
  Send(aRequest, *connection, aNow);
  return true;
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
  const auto overtaken = way.OvertakenAt();
  if (overtaken != clock::time_point::max()) {
    mOvertaken.emplace(overtaken, aRequest);
  }
  if (way.WantsWord()) {
    mWanting.insert(aRequest);
  }
}

void
group_engine::Take(request_id aRequest, turn aTurn, clock::time_point aNow)
{
  auto& entry = mEntries.at(aRequest);
  mOvertaken.erase({ entry.way->OvertakenAt(), aRequest });
  mWanting.erase(aRequest);
  QueueOf(entry.waitsIn).Served(aNow - entry.sentAt);
  mLinks.Settle(entry.connection, aTurn.fate);
  Apply(aRequest, std::move(aTurn.next), aNow);
}

void
group_engine::Apply(request_id aRequest, step aStep, clock::time_point)
{
  if (auto* end = std::get_if<finish>(&aStep)) {
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
  QueueOf(entry.waitsIn).Put(WaitingOf(entry.way->Request()));
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
  torn.end = upstream::batch_end::kTorn;
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
  mOvertaken.erase({ entry.way->OvertakenAt(), aRequest });
  mAwaiting.erase(aRequest);
  mWanting.erase(aRequest);
  mEntries.erase(found);
}

void
group_engine::SpreadNews(clock::time_point aNow)
{
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
  const auto term = mContext.board.Term();
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
  for (const auto& [request, entry] : mEntries) {
    if (entry.at == stage::kRunning && entry.way->IsOvertaken(aNow)) {
      overtaken.push_back(request);
    }
  }
  std::sort(overtaken.begin(), overtaken.end());
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
  for (const auto& server : mRounds.Due(SomeoneWaits(), aNow)) {
    mActions.emplace_back(ask_status{ server });
  }
}

bool
group_engine::SomeoneWaits() const
{
  return !mAwaiting.empty() || !mWanting.empty();
}

void
group_engine::Follow(clock::time_point aNow)
{
  Pump(aNow);
  EndTransactions(aNow);
  Ask(aNow);
}

} // namespace currantshed::group
