#include <utility>

#include "currantshed/group/begin_flows.hpp"
#include "currantshed/group/group_engine.hpp"
#include "currantshed/group/reads.hpp"
#include "currantshed/group/resolve.hpp"
#include "currantshed/group/statement_rules.hpp"
#include "currantshed/group/transaction_flows.hpp"
#include "currantshed/group/writes.hpp"
#include "currantshed/outcome/stored_outcome.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;

// Maximum number of requests, including those in progress, per request that may
// wait.
constexpr std::size_t kEntriesPerWaiting = 4;

bool
IsInTransaction(operation aKind)
{
  return aKind == operation::kStatement || aKind == operation::kCommit ||
         aKind == operation::kRollback;
}

bool
HasStatements(operation aKind)
{
  return aKind == operation::kRead || aKind == operation::kWrite ||
         aKind == operation::kStatement;
}

bool
NeedsWriteClass(operation aKind)
{
  return aKind == operation::kWrite;
}

bool
IsWellFormed(const request& aRequest)
{
  if (HasStatements(aRequest.kind) && aRequest.statements.empty()) {
    return false;
  }
  if (NeedsWriteClass(aRequest.kind) &&
      aRequest.work.kind != policy::access::kWrite) {
    return false;
  }
  for (const auto& statement : aRequest.statements) {
    if (!MayCallerRun(statement.sql)) {
      return false;
    }
  }
  return true;
}

} // namespace

void
group_engine::Submit(request aRequest,
                     clock::time_point aNow,
                     clock::wall_time aWallNow)
{
  if (auto result = Precheck(aRequest, aNow, aWallNow)) {
    mActions.emplace_back(give_answer{ std::move(*result) });
    return;
  }
  entry entered;
  entered.queue = QueueKindOf(aRequest);
  const auto needsNoServer = aRequest.kind == operation::kReconfirm;
  entered.currentStage =
    needsNoServer ? stage::kAwaitingStatus : stage::kQueued;
  const auto request = aRequest.id;
  entered.requestFlow = MakeFlow(std::move(aRequest), aNow);
  Enqueue(std::move(entered), aNow);
  AfterSubmit(request, aNow);
}

std::optional<answer>
group_engine::Precheck(request& aRequest,
                       clock::time_point aNow,
                       clock::wall_time aWallNow)
{
  if (aRequest.deadline <= aNow) {
    return NotRun(aRequest, reason::kDeadline);
  }
  if (!IsWellFormed(aRequest)) {
    return Refused(aRequest, reason::kMalformed);
  }
  if (IsInTransaction(aRequest.kind)) {
    if (auto result = PrecheckInTransaction(aRequest)) {
      return result;
    }
  } else if (mDraining && aRequest.kind != operation::kReconfirm) {
    return NotRun(aRequest, reason::kLeaving);
  }
  const auto changes = aRequest.kind == operation::kWrite ||
                       aRequest.kind == operation::kResolve ||
                       (aRequest.kind == operation::kCommit &&
                        aRequest.work.kind == policy::access::kWrite);
  if (changes && aRequest.key.empty()) {
    return Refused(aRequest, reason::kMalformed);
  }
  if (changes && !outcome::IsKeyInRetention(
                   aRequest.key, aWallNow, mContext.settings.keyRetention)) {
    return Refused(aRequest, reason::kKeyExpired);
  }
  return std::nullopt;
}

std::optional<answer>
group_engine::PrecheckInTransaction(request& aRequest)
{
  const auto* open = mContext.transactions.Find(aRequest.transaction);
  if (open == nullptr) {
    return NotRun(aRequest, reason::kTransactionLost);
  }
  if (open->user) {
    return Refused(aRequest, reason::kMalformed);
  }
  aRequest.work = open->work;
  return std::nullopt;
}

std::unique_ptr<flow>
group_engine::MakeFlow(request aRequest, clock::time_point aNow)
{
  const auto isRead = aRequest.work.kind == policy::access::kRead;
  switch (aRequest.kind) {
    case operation::kRead:
      return std::make_unique<read_flow>(mContext, std::move(aRequest), aNow);
    case operation::kWrite:
      return std::make_unique<write_flow>(mContext, std::move(aRequest), aNow);
    case operation::kBegin:
      if (isRead) {
        return std::make_unique<begin_read_flow>(
          mContext, std::move(aRequest), aNow);
      }
      return std::make_unique<begin_write_flow>(
        mContext, std::move(aRequest), aNow);
    case operation::kStatement:
      return std::make_unique<statement_flow>(
        mContext, std::move(aRequest), aNow);
    case operation::kCommit:
      if (isRead) {
        return std::make_unique<end_flow>(mContext, std::move(aRequest), aNow);
      }
      return std::make_unique<commit_flow>(mContext, std::move(aRequest), aNow);
    case operation::kRollback:
      return std::make_unique<end_flow>(mContext, std::move(aRequest), aNow);
    case operation::kResolve:
      return std::make_unique<resolve_flow>(
        mContext, std::move(aRequest), aNow);
    case operation::kReconfirm:
      break;
  }
  return std::make_unique<reconfirm_flow>(mContext, std::move(aRequest), aNow);
}

group_engine::queue_kind
group_engine::QueueKindOf(const request& aRequest)
{
  if (IsInTransaction(aRequest.kind)) {
    return queue_kind::kTransactions;
  }
  const auto isRead = aRequest.kind == operation::kRead ||
                      (aRequest.kind == operation::kBegin &&
                       aRequest.work.kind == policy::access::kRead);
  if (!isRead) {
    return queue_kind::kWrites;
  }
  return IsFresh(aRequest) ? queue_kind::kFreshReads : queue_kind::kReads;
}

admit::queued_request
group_engine::WaitingOf(const request& aRequest)
{
  return { aRequest.deadline, aRequest.id, aRequest.work.objective };
}

admit::deadline_queue&
group_engine::QueueOf(queue_kind aKind)
{
  switch (aKind) {
    case queue_kind::kReads:
      return mReads;
    case queue_kind::kFreshReads:
      return mFreshReads;
    case queue_kind::kWrites:
      return mWrites;
    case queue_kind::kTransactions:
      break;
  }
  return mTransactions;
}

void
group_engine::Enqueue(entry aEntry, clock::time_point aNow)
{
  const auto& request = aEntry.requestFlow->Request();
  const auto id = request.id;
  const auto waiting = WaitingOf(request);
  auto& queue = QueueOf(aEntry.queue);
  if (aEntry.currentStage == stage::kQueued) {
    const auto hasRoom =
      mEntries.size() < kEntriesPerWaiting * mContext.settings.queueLimit;
    const auto offered =
      hasRoom ? queue.TryAdmit(waiting, aNow) : admit::admission{};
    if (!offered.admitted) {
      auto result = NotRun(request, reason::kOverloaded);
      result.retryAfter = queue.RetryAfter(id, aNow);
      mActions.emplace_back(give_answer{ std::move(result) });
      return;
    }
    for (const auto displaced : offered.displaced) {
      auto result = NotRun(mEntries.at(displaced).requestFlow->Request(),
                           reason::kOverloaded);
      result.retryAfter = queue.RetryAfter(displaced, aNow);
      Finish(displaced, std::move(result));
    }
    mContext.retries.Deposit();
  } else {
    mAwaiting.insert(id);
  }
  if (aEntry.queue == queue_kind::kTransactions) {
    mContext.transactions.Find(request.transaction)->user = id;
  }
  mDeadlines.emplace(request.deadline, id);
  mEntries.emplace(id, std::move(aEntry));
}

std::unique_ptr<engine>
MakeEngine(const engine_settings& aSettings)
{
  return std::make_unique<group_engine>(aSettings);
}

} // namespace currantshed::group
