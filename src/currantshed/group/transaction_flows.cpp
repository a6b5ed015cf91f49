#include "currantshed/group/transaction_flows.hpp"

#include <iterator>
#include <utility>

namespace currantshed::group {

namespace {

using outcome::reason;
using upstream::batch_end;
using upstream::server_role;

// Opening batch of a transaction that may change data: begin, status.
constexpr std::size_t kOpeningStatus = 1;
constexpr std::size_t kOpeningSize = 2;

transaction
MakeTransaction(const request& aRequest,
                const dispatch& aDispatch,
                const upstream::server_status& aStatus)
{
  transaction made;
  made.connection = aDispatch.connection;
  made.server = aDispatch.server;
  made.failureDomain = aDispatch.failureDomain;
  made.role = aStatus.role;
  made.term = aStatus.term;
  made.work = aRequest.work;
  made.user = aRequest.id;
  return made;
}

bool
IsDone(const step& aStep)
{
  const auto* end = std::get_if<finish>(&aStep);
  return end != nullptr && end->reply.verdict == outcome::verdict::kDone;
}

// The connection that an open transaction owns; one that no connection has
// when the transaction is gone.
connection_id
ConnectionOf(context& aContext, transaction_id aTransaction)
{
  const auto* open = aContext.transactions.Find(aTransaction);
  return open == nullptr ? 0 : open->connection;
}

route::choice
NoPlace()
{
  return { route::standing::kNone, 0, reason::kTransactionLost };
}

} // namespace

bool
begin_write_flow::ReadOnly() const
{
  return false;
}

route::choice
begin_write_flow::Place(const std::vector<route::candidate>& aCandidates,
                        clock::time_point aNow) const
{
  return route::ChoosePrimary(
    aCandidates, Request().work.servedIn, Shared().board, aNow);
}

std::optional<answer>
begin_write_flow::GiveUp(reason aWhy, clock::time_point aNow)
{
  if (aWhy == reason::kNoPlace || HasWaitedLong(aNow)) {
    return NotRun(Request(), aWhy);
  }
  return std::nullopt;
}

std::vector<upstream::statement>
begin_write_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto& dialect = *Shared().dialect;
  std::vector<upstream::statement> batch{ dialect.Begin(false),
                                          dialect.Status() };
  batch.insert(
    batch.end(), Request().statements.begin(), Request().statements.end());
  return batch;
}

turn
begin_write_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.sqlState == upstream::kAnswerLimitState) {
    return { finish{ Refused(Request(), reason::kAnswerTooLarge) },
             connection_fate::kClose };
  }
  const auto isRefusal = aReply.end == batch_end::kServerError &&
                         aReply.results.size() >= kOpeningSize &&
                         aReply.sqlState != upstream::kStaleTermState &&
                         aReply.sqlState != upstream::kReadOnlyState;
  if (isRefusal) {
    return { finish{ StatementRefused(Request(), aReply) },
             connection_fate::kRollBack };
  }
  if (aReply.end != batch_end::kComplete) {
    return { TryAgain(), connection_fate::kClose };
  }
  const auto status = TakeStatus(Shared(), mDispatch, aReply, kOpeningStatus);
  if (!status || status->role != server_role::kPrimary) {
    return { TryAgain(), connection_fate::kClose };
  }
  auto open = MakeTransaction(Request(), mDispatch, *status);
  open.digest.Add(Request().statements);
  auto made = ServedBy(Request(), mDispatch, status->role);
  made.transaction = Shared().transactions.Add(std::move(open), aNow);
  made.results.assign(
    std::make_move_iterator(aReply.results.begin() + kOpeningSize),
    std::make_move_iterator(aReply.results.end()));
  return { finish{ std::move(made) }, connection_fate::kPin };
}

answer
begin_write_flow::Expired(stage) const
{
  // Without a commit nothing of it stays.
  return NotRun(Request(), reason::kDeadline);
}

step
begin_write_flow::TryAgain()
{
  if (Shared().retries.Spend()) {
    return queue_again{};
  }
  return finish{ NotRun(Request(), reason::kNoPrimary) };
}

turn
begin_read_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  const auto isComplete = aReply.end == batch_end::kComplete;
  auto next = read_flow::Replied(std::move(aReply), aNow);
  if (next.fate != connection_fate::kKeep) {
    return next;
  }
  const auto isOpen =
    isComplete &&
    (IsDone(next.next) || std::holds_alternative<await_word>(next.next));
  if (!isOpen) {
    next.fate = connection_fate::kRollBack;
    return next;
  }
  auto open = MakeTransaction(Request(), Dispatched(), Evidence().after);
  open.readOnly = true;
  open.position = Evidence().after.applied;
  mTransaction = Shared().transactions.Add(std::move(open), aNow);
  if (auto* end = std::get_if<finish>(&next.next)) {
    end->reply.transaction = mTransaction;
  }
  next.fate = connection_fate::kPin;
  return next;
}

std::optional<step>
begin_read_flow::Heard(clock::time_point aNow)
{
  auto next = read_flow::Heard(aNow);
  if (!next) {
    return next;
  }
  if (IsDone(*next)) {
    std::get<finish>(*next).reply.transaction = mTransaction;
  } else {
    Shared().transactions.Abandon(mTransaction);
  }
  return next;
}

std::vector<upstream::statement>
begin_read_flow::Opening() const
{
  // The status within the transaction is what fixes the state that it sees.
  const auto& dialect = *Shared().dialect;
  return { dialect.Status(), dialect.Begin(true), dialect.Status() };
}

bool
begin_read_flow::StatusAfter() const
{
  return false;
}

bool
statement_flow::ReadOnly() const
{
  return false;
}

std::optional<connection_id>
statement_flow::Pinned() const
{
  return ConnectionOf(Shared(), Request().transaction);
}

route::choice
statement_flow::Place(const std::vector<route::candidate>&,
                      clock::time_point) const
{
  return NoPlace();
}

std::vector<upstream::statement>
statement_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  auto batch = Request().statements;
  batch.push_back(Shared().dialect->Status());
  return batch;
}

bool
statement_flow::IsOvertaken(clock::time_point) const
{
  return Shared().transactions.Find(Request().transaction) == nullptr;
}

turn
statement_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  auto& transactions = Shared().transactions;
  auto* open = transactions.Find(Request().transaction);
  const auto lose = [&](answer aAnswer) -> turn {
    transactions.Remove(Request().transaction);
    return { finish{ std::move(aAnswer) }, connection_fate::kClose };
  };
  if (open == nullptr) {
    return lose(NotRun(Request(), reason::kTransactionLost));
  }
  if (aReply.end == batch_end::kServerError &&
      aReply.sqlState != upstream::kStaleTermState) {
    return lose(StatementRefused(Request(), aReply));
  }
  if (aReply.sqlState == upstream::kAnswerLimitState) {
    return lose(Refused(Request(), reason::kAnswerTooLarge));
  }
  const auto place = Request().statements.size();
  const auto status = aReply.end == batch_end::kComplete
                        ? TakeStatus(Shared(), mDispatch, aReply, place)
                        : std::nullopt;
  if (!status || (!open->readOnly && status->term != open->term)) {
    return lose(NotRun(Request(), reason::kTransactionLost));
  }
  open->digest.Add(Request().statements);
  open->lastUsed = aNow;
  auto made = ServedBy(Request(), mDispatch, open->role);
  made.transaction = open->id;
  made.position = open->position;
  aReply.results.pop_back();
  made.results = std::move(aReply.results);
  return { finish{ std::move(made) }, connection_fate::kPin };
}

answer
statement_flow::Expired(stage) const
{
  return NotRun(Request(), reason::kDeadline);
}

commit_flow::commit_flow(context& aContext,
                         request aRequest,
                         clock::time_point aNow)
  : change_flow(aContext, std::move(aRequest), aNow)
{
  if (const auto* open = Shared().transactions.Find(Request().transaction)) {
    mDigest = open->digest.Text();
  }
}

std::optional<connection_id>
commit_flow::Pinned() const
{
  if (Phase() != phase::kApply) {
    return std::nullopt;
  }
  return ConnectionOf(Shared(), Request().transaction);
}

turn
commit_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (Phase() == phase::kApply) {
    Shared().transactions.Remove(Request().transaction);
  }
  return change_flow::Replied(std::move(aReply), aNow);
}

std::vector<upstream::statement>
commit_flow::ComposeChange() const
{
  const auto& dialect = *Shared().dialect;
  const auto& key = Request().key;
  return { dialect.RecordOutcome(key.Text(), key.IssuedAt(), mDigest),
           dialect.Status(),
           dialect.Commit(),
           dialect.Status() };
}

std::size_t
commit_flow::RecordPlace() const
{
  return 0;
}

bool
commit_flow::MayBeResent() const
{
  return false;
}

std::optional<std::string>
commit_flow::Digest() const
{
  return mDigest;
}

bool
end_flow::ReadOnly() const
{
  return false;
}

std::optional<connection_id>
end_flow::Pinned() const
{
  return ConnectionOf(Shared(), Request().transaction);
}

route::choice
end_flow::Place(const std::vector<route::candidate>&, clock::time_point) const
{
  return NoPlace();
}

std::vector<upstream::statement>
end_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto& dialect = *Shared().dialect;
  return { Request().kind == operation::kRollback ? dialect.Rollback()
                                                  : dialect.Commit() };
}

turn
end_flow::Replied(upstream::reply aReply, clock::time_point)
{
  auto made = ServedBy(Request(), mDispatch, server_role::kPrimary);
  if (const auto* open = Shared().transactions.Find(Request().transaction)) {
    made.position = open->position;
    made.byReplica = open->role != server_role::kPrimary;
  }
  Shared().transactions.Remove(Request().transaction);
  // Where the reply is torn, the server drops the transaction by itself.
  return { finish{ std::move(made) },
           aReply.end == batch_end::kComplete ? connection_fate::kKeep
                                              : connection_fate::kClose };
}

answer
end_flow::Expired(stage aStage) const
{
  if (aStage == stage::kQueued) {
    return NotRun(Request(), reason::kDeadline);
  }
  return ServedBy(Request(), mDispatch, server_role::kPrimary);
}

} // namespace currantshed::group
