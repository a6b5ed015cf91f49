#include "currantshed/group/transaction_flows.hpp"

#include <iterator>
#include <utility>

namespace currantshed::group {

namespace {

using outcome::reason;
using upstream::batch_end;
using upstream::server_role;

// Connection that an open transaction owns; an identifier that no connection
// has if the transaction no longer exists.
connection_id
ConnectionOf(context& aContext, transaction_id aTransaction)
{
  const auto* open = aContext.transactions.Find(aTransaction);
  return open == nullptr ? 0 : open->connection;
}

route::choice
NoServer()
{
  return { route::availability::kNone, 0, reason::kTransactionLost };
}

} // namespace

bool
statement_flow::ReadOnly() const
{
  return false;
}

std::optional<connection_id>
statement_flow::Pinned() const
{
  return ConnectionOf(Context(), Request().transaction);
}

route::choice
statement_flow::ChooseServer(const std::vector<route::candidate>&,
                             clock::time_point) const
{
  return NoServer();
}

std::vector<upstream::statement>
statement_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  auto batch = Request().statements;
  batch.push_back(Context().dialect->Status());
  return batch;
}

bool
statement_flow::ShouldAbort(clock::time_point) const
{
  return Context().transactions.Find(Request().transaction) == nullptr;
}

reply_outcome
statement_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  auto& transactions = Context().transactions;
  auto* open = transactions.Find(Request().transaction);
  const auto lose = [&](answer aAnswer) -> reply_outcome {
    transactions.Remove(Request().transaction);
    return { finish{ std::move(aAnswer) }, connection_fate::kClose };
  };
  if (open == nullptr) {
    return lose(NotRun(Request(), reason::kTransactionLost));
  }
  if (aReply.end == batch_end::kServerError &&
      aReply.sqlState != upstream::kStaleTermSqlState) {
    return lose(StatementRefused(Request(), aReply));
  }
  if (aReply.sqlState == upstream::kAnswerLimitSqlState) {
    return lose(Refused(Request(), reason::kAnswerTooLarge));
  }
  const auto place = Request().statements.size();
  const auto status = aReply.end == batch_end::kComplete
                        ? TakeStatus(Context(), mDispatch, aReply, place)
                        : std::nullopt;
  if (!status || (!open->readOnly && status->term != open->term)) {
    return lose(NotRun(Request(), reason::kTransactionLost));
  }
  open->digest.Add(Request().statements);
  open->lastUsed = aNow;
  auto result = ServedBy(Request(), mDispatch, open->role);
  result.transaction = open->id;
  result.position = open->position;
  aReply.results.pop_back();
  result.results = std::move(aReply.results);
  return { finish{ std::move(result) }, connection_fate::kPin };
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
  if (const auto* open = Context().transactions.Find(Request().transaction)) {
    mDigest = open->digest.Text();
  }
}

std::optional<connection_id>
commit_flow::Pinned() const
{
  if (Phase() != phase::kApply) {
    return std::nullopt;
  }
  return ConnectionOf(Context(), Request().transaction);
}

reply_outcome
commit_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (Phase() == phase::kApply) {
    Context().transactions.Remove(Request().transaction);
  }
  return change_flow::Replied(std::move(aReply), aNow);
}

std::vector<upstream::statement>
commit_flow::ComposeChange() const
{
  const auto& dialect = *Context().dialect;
  const auto& key = Request().key;
  return { dialect.RecordOutcome(key.Text(), key.IssuedAt(), mDigest),
           dialect.Status(),
           dialect.Commit(),
           dialect.Status() };
}

std::size_t
commit_flow::RecordIndex() const
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
  return ConnectionOf(Context(), Request().transaction);
}

route::choice
end_flow::ChooseServer(const std::vector<route::candidate>&,
                       clock::time_point) const
{
  return NoServer();
}

std::vector<upstream::statement>
end_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto& dialect = *Context().dialect;
  return { Request().kind == operation::kRollback ? dialect.Rollback()
                                                  : dialect.Commit() };
}

reply_outcome
end_flow::Replied(upstream::reply aReply, clock::time_point)
{
  auto result = ServedBy(Request(), mDispatch, server_role::kPrimary);
  if (const auto* open = Context().transactions.Find(Request().transaction)) {
    result.position = open->position;
    result.byReplica = open->role != server_role::kPrimary;
  }
  Context().transactions.Remove(Request().transaction);
  // If the reply is indeterminate, the server rolls the transaction back
  // itself.
  return { finish{ std::move(result) },
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
