#include "currantshed/group/reads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "currantshed/group/refusals.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;
using upstream::batch_end;

// Part of its time that a read waits for a replica which could take it,
// before it goes to the primary.
constexpr int kSpillPart = 4;
// Status intervals without a word from a server, at least, before a read that
// runs there is tried elsewhere.
constexpr int kLeastSilentIntervals = 2;

} // namespace

bool
read_flow::ReadOnly() const
{
  return true;
}

route::choice
read_flow::Place(const std::vector<route::candidate>& aCandidates,
                 clock::time_point aNow) const
{
  const auto& request = Request();
  const auto time = request.deadline - Submitted();
  const route::read_requirements need{
    request.work.servedIn,
    request.floor,
    request.work.maxStaleness,
    IsFresh(request),
    mTried,
    aNow >= Submitted() + time / kSpillPart
  };
  return route::ChooseForRead(aCandidates, need, Shared().tracker, aNow);
}

std::optional<answer>
read_flow::GiveUp(reason aWhy, clock::time_point aNow)
{
  // Servers that were behind may have caught up when it comes to them again.
  mTried.clear();
  if (aWhy == reason::kNoEligibleServer || HasWaitedLong(aNow)) {
    return NotRun(Request(), aWhy);
  }
  return std::nullopt;
}

std::vector<upstream::statement>
read_flow::Compose(const dispatch& aDispatch)
{
  mDispatch = aDispatch;
  mEvidence = {};
  mEvidence.sentAt = aDispatch.sentAt;
  auto batch = Opening();
  batch.insert(
    batch.end(), Request().statements.begin(), Request().statements.end());
  if (StatusAfter()) {
    batch.push_back(Shared().dialect->Status());
  }
  return batch;
}

bool
read_flow::IsOvertaken(clock::time_point aNow) const
{
  // A server that runs a long statement still tells its status; one that is
  // silent is cut off or stuck.
  const auto& settings = Shared().settings;
  const auto time = Request().deadline - mDispatch.sentAt;
  const auto least = settings.statusInterval * kLeastSilentIntervals;
  const auto silence = std::clamp<clock::duration>(
    time / 2, least, settings.statusTimeout + least);
  const auto* word = Shared().tracker.Find(mDispatch.server);
  const auto heardAt = word == nullptr
                         ? mDispatch.sentAt
                         : std::max(mDispatch.sentAt, word->askedAt);
  return aNow >= heardAt + silence;
}

turn
read_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.end == batch_end::kServerError) {
    return ServerRefused(aReply);
  }
  if (aReply.end == batch_end::kIndeterminate) {
    return Torn(aReply);
  }
  const auto opening = Opening().size();
  const auto end = opening + Request().statements.size();
  const auto before = TakeStatus(Shared(), mDispatch, aReply, 0);
  const auto after =
    TakeStatus(Shared(), mDispatch, aReply, StatusAfter() ? end : opening - 1);
  if (!before || !after || aReply.results.size() < end) {
    return { TryElsewhere(reason::kUnreachable), connection_fate::kClose };
  }
  mEvidence.before = *before;
  mEvidence.after = *after;
  mAnswer = ServedBy(Request(), mDispatch, after->role);
  mAnswer.position = after->applied;
  const auto begin = aReply.results.begin();
  mAnswer.results.assign(
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(opening)),
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(end)));
  auto next = Decide(aNow);
  return { next ? std::move(*next) : step{ await_word{} },
           connection_fate::kKeep };
}

std::optional<step>
read_flow::Heard(clock::time_point aNow)
{
  return Decide(aNow);
}

bool
read_flow::WantsWord() const
{
  return IsFresh(Request());
}

answer
read_flow::Expired(stage) const
{
  // What a read did is gone with its rows.
  return NotRun(Request(), reason::kDeadline);
}

std::vector<upstream::statement>
read_flow::Opening() const
{
  return { Shared().dialect->Status() };
}

bool
read_flow::StatusAfter() const
{
  return true;
}

const dispatch&
read_flow::Dispatched() const noexcept
{
  return mDispatch;
}

const read_evidence&
read_flow::Evidence() const noexcept
{
  return mEvidence;
}

std::optional<step>
read_flow::Decide(clock::time_point aNow)
{
  switch (Judge(Request(), mEvidence, Shared().tracker, aNow)) {
    case read_judgement::kGood:
      return finish{ std::move(mAnswer) };
    case read_judgement::kBad:
      return TryElsewhere(reason::kTooStale);
    case read_judgement::kUnconfirmed:
      break;
  }
  return std::nullopt;
}

step
read_flow::TryElsewhere(reason aWhy)
{
  mTried.push_back(mDispatch.server);
  if (!Shared().retries.TryWithdraw()) {
    return finish{ NotRun(Request(), aWhy) };
  }
  return queue_again{};
}

turn
read_flow::ServerRefused(const upstream::reply& aReply)
{
  if (Classify(aReply.sqlState) == refusal::kTransient ||
      aReply.sqlState == upstream::kStaleTermSqlState) {
    return { TryElsewhere(reason::kUnreachable), connection_fate::kClose };
  }
  return { finish{ StatementRefused(Request(), aReply) },
           connection_fate::kKeep };
}

turn
read_flow::Torn(const upstream::reply& aReply)
{
  if (aReply.sqlState == upstream::kAnswerLimitSqlState) {
    return { finish{ Refused(Request(), reason::kAnswerTooLarge) },
             connection_fate::kClose };
  }
  return { TryElsewhere(reason::kUnreachable), connection_fate::kClose };
}

} // namespace currantshed::group
