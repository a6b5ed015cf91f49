#include "currantshed/group/changes.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "currantshed/group/key_batches.hpp"
#include "currantshed/group/refusals.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;
using outcome::verdict;
using upstream::batch_end;
using upstream::server_role;

// Statements after those of the caller: status, commit, status.
constexpr std::size_t kClosingStatements = 3;

} // namespace

bool
change_flow::ReadOnly() const
{
  return false;
}

route::choice
change_flow::ChooseServer(const std::vector<route::candidate>& aCandidates,
                          clock::time_point aNow) const
{
  return route::ChoosePrimary(
    aCandidates, Request().work.servedIn, Context().tracker, aNow);
}

std::optional<answer>
change_flow::OnNoServer(reason aWhy, clock::time_point aNow)
{
  if (mOutcomeUnknown || mPhase != phase::kApply) {
    return std::nullopt;
  }
  if (aWhy == reason::kNoEligibleServer || HasWaitedTooLong(aNow)) {
    return NotRun(Request(), aWhy);
  }
  return std::nullopt;
}

std::vector<upstream::statement>
change_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto term = Context().tracker.Term();
  mTerm = term ? term->term : 0;
  switch (mPhase) {
    case phase::kLookUp:
      return LookUpBatch(*Context().dialect, Request().key);
    case phase::kVoid:
      return VoidBatch(
        *Context().dialect, Request().key, Digest().value_or(""));
    case phase::kApply:
      break;
  }
  return ComposeChange();
}

bool
change_flow::ShouldAbort(clock::time_point) const
{
  const auto term = Context().tracker.Term();
  return term && term->term > mTerm;
}

reply_outcome
change_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  switch (mPhase) {
    case phase::kLookUp:
      return OnLookUpReply(aReply, aNow);
    case phase::kVoid:
      return OnVoidReply(aReply, aNow);
    case phase::kApply:
      break;
  }
  return OnChangeReply(std::move(aReply), aNow);
}

std::optional<step>
change_flow::OnStatusUpdate(clock::time_point aNow)
{
  if (mAwaitingUpdate) {
    mAwaitingUpdate = false;
    return requeue{};
  }
  if (Context().tracker.IsHeldByMajority(mPosition, mDispatch.sentAt, aNow)) {
    return finish{ std::move(*mAnswer) };
  }
  const auto term = Context().tracker.Term();
  if (term && term->term > mPosition.term) {
    mAnswer.reset();
    return ResolveOutcome();
  }
  return std::nullopt;
}

answer
change_flow::Expired(stage aStage) const
{
  const auto neverSent =
    aStage == stage::kQueued && !mOutcomeUnknown && mPhase == phase::kApply;
  return neverSent ? NotRun(Request(), reason::kDeadline)
                   : Unknown(Request(), reason::kDeadline);
}

change_flow::phase
change_flow::Phase() const noexcept
{
  return mPhase;
}

void
change_flow::SetPhase(phase aPhase) noexcept
{
  mPhase = aPhase;
}

reply_outcome
change_flow::OnChangeReply(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.end == batch_end::kServerError) {
    return OnChangeRefused(aReply);
  }
  const auto first = RecordIndex() + 1;
  const auto size = aReply.results.size();
  if (aReply.end == batch_end::kIndeterminate ||
      size < first + kClosingStatements) {
    return { ResolveOutcome(), connection_fate::kClose };
  }
  const auto after = size - 1;
  const auto before = size - kClosingStatements;
  const auto position = PositionOf(aReply, before, after);
  if (!position) {
    return { ResolveOutcome(), connection_fate::kClose };
  }
  auto result = ServedBy(Request(), mDispatch, server_role::kPrimary);
  const auto begin = aReply.results.begin();
  const auto offset = static_cast<std::ptrdiff_t>(first);
  result.results.assign(
    std::make_move_iterator(begin + offset),
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(before)));
  return { AnswerOnceConfirmed(std::move(result), *position, aNow),
           connection_fate::kKeep };
}

reply_outcome
change_flow::OnChangeRefused(const upstream::reply& aReply)
{
  const auto failed = aReply.results.size();
  const auto size = ComposeChange().size();
  const auto commit = size - 2;
  const auto mayHaveCommitted =
    failed > commit ||
    (failed == commit && !IsCertainAtCommit(aReply.sqlState));
  if (mayHaveCommitted) {
    return { ResolveOutcome(), connection_fate::kClose };
  }
  if (failed == RecordIndex() &&
      aReply.sqlState == upstream::kUniqueViolationSqlState) {
    mPhase = phase::kLookUp;
    return { requeue{}, connection_fate::kRollBack };
  }
  const auto kind = Classify(aReply.sqlState);
  if (kind == refusal::kNotPrimary || failed < RecordIndex()) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  if (kind == refusal::kTransient) {
    return { Retry(reason::kOverloaded), connection_fate::kRollBack };
  }
  auto result = StatementRefused(Request(), aReply);
  if (!mOutcomeUnknown) {
    return { finish{ std::move(result) }, connection_fate::kRollBack };
  }
  // An earlier attempt may still run, so the void decides the outcome.
  mAnswerIfVoid = std::move(result);
  mPhase = phase::kVoid;
  return { requeue{}, connection_fate::kRollBack };
}

reply_outcome
change_flow::OnLookUpReply(const upstream::reply& aReply,
                           clock::time_point aNow)
{
  if (aReply.end != batch_end::kComplete) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto position = PositionOf(aReply, kLookUpStatus, kLookUpStatus);
  if (!position) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto record = outcome::ReadStoredOutcome(aReply.results[kLookUpRecord]);
  if (!record) {
    // The record was lost with an unconfirmed history, so the change has not
    // run.
    mPhase = mOutcomeUnknown && !Request().work.repeatable ? phase::kVoid
                                                           : phase::kApply;
    return { Retry(reason::kNoPrimary), connection_fate::kKeep };
  }
  return { AnswerOnceConfirmed(FromRecord(*record), *position, aNow),
           connection_fate::kKeep };
}

reply_outcome
change_flow::OnVoidReply(const upstream::reply& aReply, clock::time_point aNow)
{
  if (aReply.end != batch_end::kComplete) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto position = PositionOf(aReply, kVoidBefore, kVoidAfter);
  if (!position) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto record = outcome::ReadStoredOutcome(aReply.results[kVoidRecord]);
  if (!record) {
    return { Retry(reason::kNoPrimary), connection_fate::kClose };
  }
  auto result = record->isVoid && mAnswerIfVoid ? std::move(*mAnswerIfVoid)
                                                : FromRecord(*record);
  mAnswerIfVoid.reset();
  return { AnswerOnceConfirmed(std::move(result), *position, aNow),
           connection_fate::kKeep };
}

std::optional<position::log_position>
change_flow::PositionOf(const upstream::reply& aReply,
                        std::size_t aBefore,
                        std::size_t aAfter)
{
  const auto before = TakeStatus(Context(), mDispatch, aReply, aBefore);
  const auto after = TakeStatus(Context(), mDispatch, aReply, aAfter);
  if (!before || !after || before->term != after->term ||
      before->role != server_role::kPrimary ||
      after->role != server_role::kPrimary) {
    return std::nullopt;
  }
  return after->applied;
}

step
change_flow::AnswerOnceConfirmed(answer aAnswer,
                                 const position::log_position& aPosition,
                                 clock::time_point aNow)
{
  mPosition = aPosition;
  mAnswer = std::move(aAnswer);
  mAnswer->position = aPosition;
  if (auto next = OnStatusUpdate(aNow)) {
    return std::move(*next);
  }
  return await_status{};
}

step
change_flow::ResolveOutcome()
{
  mOutcomeUnknown = true;
  const auto resend = MayBeResent() && Request().work.repeatable;
  mPhase = resend && mPhase != phase::kVoid ? phase::kApply : phase::kVoid;
  if (!Context().retries.TryWithdraw()) {
    return finish{ Unknown(Request(), reason::kUnreachable) };
  }
  return requeue{};
}

step
change_flow::Retry(reason aWhy)
{
  if (mPhase == phase::kApply && !MayBeResent()) {
    return finish{ NotRun(Request(), reason::kTransactionLost) };
  }
  if (Context().retries.TryWithdraw()) {
    mAwaitingUpdate = true;
    return await_status{};
  }
  const auto hasNotRun = !mOutcomeUnknown && mPhase == phase::kApply;
  return finish{ hasNotRun ? NotRun(Request(), aWhy)
                           : Unknown(Request(), aWhy) };
}

answer
change_flow::FromRecord(const outcome::stored_outcome& aRecord) const
{
  if (aRecord.isVoid) {
    return NotRun(Request(), reason::kKeyVoid);
  }
  const auto digest = Digest();
  if (digest && *digest != aRecord.digest) {
    return Refused(Request(), reason::kKeyReused);
  }
  auto result = ServedBy(Request(), mDispatch, server_role::kPrimary);
  result.repeated = true;
  return result;
}

} // namespace currantshed::group
