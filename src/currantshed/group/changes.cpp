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
constexpr std::size_t kClosing = 3;

} // namespace

bool
change_flow::ReadOnly() const
{
  return false;
}

route::choice
change_flow::Place(const std::vector<route::candidate>& aCandidates,
                   clock::time_point aNow) const
{
  return route::ChoosePrimary(
    aCandidates, Request().work.servedIn, Shared().tracker, aNow);
}

std::optional<answer>
change_flow::GiveUp(reason aWhy, clock::time_point aNow)
{
  if (mDoubtful || mPhase != phase::kApply) {
    return std::nullopt;
  }
  if (aWhy == reason::kNoEligibleServer || HasWaitedLong(aNow)) {
    return NotRun(Request(), aWhy);
  }
  return std::nullopt;
}

std::vector<upstream::statement>
change_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  const auto term = Shared().tracker.Term();
  mTerm = term ? term->term : 0;
  switch (mPhase) {
    case phase::kLookUp:
      return LookUpBatch(*Shared().dialect, Request().key);
    case phase::kVoid:
      return VoidBatch(*Shared().dialect, Request().key, Digest().value_or(""));
    case phase::kApply:
      break;
  }
  return ComposeChange();
}

bool
change_flow::IsOvertaken(clock::time_point) const
{
  const auto term = Shared().tracker.Term();
  return term && term->term > mTerm;
}

turn
change_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  switch (mPhase) {
    case phase::kLookUp:
      return LookedUp(aReply, aNow);
    case phase::kVoid:
      return Voided(aReply, aNow);
    case phase::kApply:
      break;
  }
  return ChangeReplied(std::move(aReply), aNow);
}

std::optional<step>
change_flow::Heard(clock::time_point aNow)
{
  if (mParked) {
    mParked = false;
    return queue_again{};
  }
  if (Shared().tracker.IsHeldByMajority(mPosition, mDispatch.sentAt, aNow)) {
    return finish{ std::move(*mAnswer) };
  }
  const auto term = Shared().tracker.Term();
  if (term && term->term > mPosition.term) {
    mAnswer.reset();
    return Doubt();
  }
  return std::nullopt;
}

answer
change_flow::Expired(stage aStage) const
{
  const auto neverSent =
    aStage == stage::kQueued && !mDoubtful && mPhase == phase::kApply;
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

turn
change_flow::ChangeReplied(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.end == batch_end::kServerError) {
    return ChangeRefused(aReply);
  }
  const auto first = RecordPlace() + 1;
  const auto size = aReply.results.size();
  if (aReply.end == batch_end::kIndeterminate || size < first + kClosing) {
    return { Doubt(), connection_fate::kClose };
  }
  const auto after = size - 1;
  const auto before = size - kClosing;
  const auto position = PositionOf(aReply, before, after);
  if (!position) {
    return { Doubt(), connection_fate::kClose };
  }
  auto made = ServedBy(Request(), mDispatch, server_role::kPrimary);
  const auto begin = aReply.results.begin();
  const auto offset = static_cast<std::ptrdiff_t>(first);
  made.results.assign(
    std::make_move_iterator(begin + offset),
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(before)));
  return { Confirm(std::move(made), *position, aNow), connection_fate::kKeep };
}

turn
change_flow::ChangeRefused(const upstream::reply& aReply)
{
  const auto failed = aReply.results.size();
  const auto size = ComposeChange().size();
  const auto commit = size - 2;
  const auto mayHaveCommitted =
    failed > commit ||
    (failed == commit && !IsCertainAtCommit(aReply.sqlState));
  if (mayHaveCommitted) {
    return { Doubt(), connection_fate::kClose };
  }
  if (failed == RecordPlace() &&
      aReply.sqlState == upstream::kUniqueViolationSqlState) {
    mPhase = phase::kLookUp;
    return { queue_again{}, connection_fate::kRollBack };
  }
  const auto kind = Classify(aReply.sqlState);
  if (kind == refusal::kNotPrimary || failed < RecordPlace()) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  if (kind == refusal::kTransient) {
    return { TryAgain(reason::kOverloaded), connection_fate::kRollBack };
  }
  auto made = StatementRefused(Request(), aReply);
  if (!mDoubtful) {
    return { finish{ std::move(made) }, connection_fate::kRollBack };
  }
  // An earlier attempt may still run: the void decides.
  mIfVoid = std::move(made);
  mPhase = phase::kVoid;
  return { queue_again{}, connection_fate::kRollBack };
}

turn
change_flow::LookedUp(const upstream::reply& aReply, clock::time_point aNow)
{
  if (aReply.end != batch_end::kComplete) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto position = PositionOf(aReply, kLookUpStatus, kLookUpStatus);
  if (!position) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto record = outcome::ReadStoredOutcome(aReply.results[kLookUpRecord]);
  if (!record) {
    // The record went with an unconfirmed history: the change hasn't run.
    mPhase =
      mDoubtful && !Request().work.repeatable ? phase::kVoid : phase::kApply;
    return { TryAgain(reason::kNoPrimary), connection_fate::kKeep };
  }
  return { Confirm(FromRecord(*record), *position, aNow),
           connection_fate::kKeep };
}

turn
change_flow::Voided(const upstream::reply& aReply, clock::time_point aNow)
{
  if (aReply.end != batch_end::kComplete) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto position = PositionOf(aReply, kVoidBefore, kVoidAfter);
  if (!position) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  const auto record = outcome::ReadStoredOutcome(aReply.results[kVoidRecord]);
  if (!record) {
    return { TryAgain(reason::kNoPrimary), connection_fate::kClose };
  }
  auto made =
    record->isVoid && mIfVoid ? std::move(*mIfVoid) : FromRecord(*record);
  mIfVoid.reset();
  return { Confirm(std::move(made), *position, aNow), connection_fate::kKeep };
}

std::optional<position::log_position>
change_flow::PositionOf(const upstream::reply& aReply,
                        std::size_t aBefore,
                        std::size_t aAfter)
{
  const auto before = TakeStatus(Shared(), mDispatch, aReply, aBefore);
  const auto after = TakeStatus(Shared(), mDispatch, aReply, aAfter);
  if (!before || !after || before->term != after->term ||
      before->role != server_role::kPrimary ||
      after->role != server_role::kPrimary) {
    return std::nullopt;
  }
  return after->applied;
}

step
change_flow::Confirm(answer aAnswer,
                     const position::log_position& aPosition,
                     clock::time_point aNow)
{
  mPosition = aPosition;
  mAnswer = std::move(aAnswer);
  mAnswer->position = aPosition;
  if (auto next = Heard(aNow)) {
    return std::move(*next);
  }
  return await_word{};
}

step
change_flow::Doubt()
{
  mDoubtful = true;
  const auto resend = MayBeResent() && Request().work.repeatable;
  mPhase = resend && mPhase != phase::kVoid ? phase::kApply : phase::kVoid;
  if (!Shared().retries.TryWithdraw()) {
    return finish{ Unknown(Request(), reason::kUnreachable) };
  }
  return queue_again{};
}

step
change_flow::TryAgain(reason aWhy)
{
  if (mPhase == phase::kApply && !MayBeResent()) {
    return finish{ NotRun(Request(), reason::kTransactionLost) };
  }
  if (Shared().retries.TryWithdraw()) {
    mParked = true;
    return await_word{};
  }
  const auto hasNotRun = !mDoubtful && mPhase == phase::kApply;
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
  auto made = ServedBy(Request(), mDispatch, server_role::kPrimary);
  made.repeated = true;
  return made;
}

} // namespace currantshed::group
