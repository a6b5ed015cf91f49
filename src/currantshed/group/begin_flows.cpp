#include "currantshed/group/begin_flows.hpp"

#include <iterator>
#include <utility>

namespace currantshed::group {

namespace {

using outcome::reason;
using upstream::batch_end;
using upstream::server_role;

// First batch of a transaction that may change data: begin, status.
constexpr std::size_t kPreambleStatus = 1;
constexpr std::size_t kPreambleSize = 2;

transaction
MakeTransaction(const request& aRequest,
                const dispatch& aDispatch,
                const upstream::server_status& aStatus)
{
  transaction result;
  result.connection = aDispatch.connection;
  result.server = aDispatch.server;
  result.failureDomain = aDispatch.failureDomain;
  result.role = aStatus.role;
  result.term = aStatus.term;
  result.work = aRequest.work;
  result.user = aRequest.id;
  return result;
}

bool
IsDone(const step& aStep)
{
  const auto* end = std::get_if<finish>(&aStep);
  return end != nullptr && end->reply.verdict == outcome::verdict::kDone;
}

} // namespace

bool
begin_write_flow::ReadOnly() const
{
  return false;
}

route::choice
begin_write_flow::ChooseServer(const std::vector<route::candidate>& aCandidates,
                               clock::time_point aNow) const
{
  return route::ChoosePrimary(
    aCandidates, Request().work.servedIn, Context().tracker, aNow);
}

std::optional<answer>
begin_write_flow::OnNoServer(reason aWhy, clock::time_point aNow)
{
  if (aWhy == reason::kNoEligibleServer || HasWaitedTooLong(aNow)) {
    return NotRun(Request(), aWhy);
  }
  return std::nullopt;
}

std::vector<upstream::statement>
begin_write_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto& dialect = *Context().dialect;
  std::vector<upstream::statement> batch{ dialect.Begin(false),
                                          dialect.Status() };
  batch.insert(
    batch.end(), Request().statements.begin(), Request().statements.end());
  return batch;
}

reply_outcome
begin_write_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.sqlState == upstream::kAnswerLimitSqlState) {
    return { finish{ Refused(Request(), reason::kAnswerTooLarge) },
             connection_fate::kClose };
  }
  const auto isRefusal = aReply.end == batch_end::kServerError &&
                         aReply.results.size() >= kPreambleSize &&
                         aReply.sqlState != upstream::kStaleTermSqlState &&
                         aReply.sqlState != upstream::kReadOnlySqlState;
  if (isRefusal) {
    return { finish{ StatementRefused(Request(), aReply) },
             connection_fate::kRollBack };
  }
  if (aReply.end != batch_end::kComplete) {
    return { Retry(), connection_fate::kClose };
  }
  const auto status = TakeStatus(Context(), mDispatch, aReply, kPreambleStatus);
  if (!status || status->role != server_role::kPrimary) {
    return { Retry(), connection_fate::kClose };
  }
  auto open = MakeTransaction(Request(), mDispatch, *status);
  open.digest.Add(Request().statements);
  auto result = ServedBy(Request(), mDispatch, status->role);
  result.transaction = Context().transactions.Add(std::move(open), aNow);
  result.results.assign(
    std::make_move_iterator(aReply.results.begin() + kPreambleSize),
    std::make_move_iterator(aReply.results.end()));
  return { finish{ std::move(result) }, connection_fate::kPin };
}

answer
begin_write_flow::Expired(stage) const
{
  // Without a commit, none of its changes persist.
  return NotRun(Request(), reason::kDeadline);
}

step
begin_write_flow::Retry()
{
  if (Context().retries.TryWithdraw()) {
    return requeue{};
  }
  return finish{ NotRun(Request(), reason::kNoPrimary) };
}

reply_outcome
begin_read_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  const auto isComplete = aReply.end == batch_end::kComplete;
  auto next = read_flow::Replied(std::move(aReply), aNow);
  if (next.fate != connection_fate::kKeep) {
    return next;
  }
  const auto isOpen =
    isComplete &&
    (IsDone(next.next) || std::holds_alternative<await_status>(next.next));
  if (!isOpen) {
    next.fate = connection_fate::kRollBack;
    return next;
  }
  auto open = MakeTransaction(Request(), Dispatched(), Evidence().after);
  open.readOnly = true;
  open.position = Evidence().after.applied;
  mTransaction = Context().transactions.Add(std::move(open), aNow);
  if (auto* end = std::get_if<finish>(&next.next)) {
    end->reply.transaction = mTransaction;
  }
  next.fate = connection_fate::kPin;
  return next;
}

std::optional<step>
begin_read_flow::OnStatusUpdate(clock::time_point aNow)
{
  auto next = read_flow::OnStatusUpdate(aNow);
  if (!next) {
    return next;
  }
  if (IsDone(*next)) {
    std::get<finish>(*next).reply.transaction = mTransaction;
  } else {
    Context().transactions.Abandon(mTransaction);
  }
  return next;
}

std::vector<upstream::statement>
begin_read_flow::Preamble() const
{
  // The status query in the transaction fixes its snapshot.
  const auto& dialect = *Context().dialect;
  return { dialect.Status(), dialect.Begin(true), dialect.Status() };
}

bool
begin_read_flow::NeedsStatusAfter() const
{
  return false;
}

} // namespace currantshed::group
