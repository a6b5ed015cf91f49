#include "currantshed/group/reads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "currantshed/group/refusals.hpp"

namespace currantshed::group {

namespace {

using outcome::reason;
using upstream::batch_end;

// Divisor of its total time: how long a read waits for a replica that could
// serve it before it may go to the primary.
constexpr int kPrimaryFallbackDivisor = 4;
// Minimum number of status intervals without an answer from a server before a
// read that runs there is retried on another server.
constexpr int kMinSilentIntervals = 2;

} // namespace

bool
read_flow::ReadOnly() const
{
  return true;
}

route::choice
read_flow::ChooseServer(const std::vector<route::candidate>& aCandidates,
                        clock::time_point aNow) const
{
  const auto& request = Request();
  const auto time = request.deadline - Submitted();
  const route::read_requirements need{
    request.work.servedIn,
    request.floor,
    request.work.maxStaleness,
    IsFresh(request),
    mTriedServers,
    aNow >= Submitted() + time / kPrimaryFallbackDivisor
  };
  return route::ChooseForRead(aCandidates, need, Context().tracker, aNow);
}

std::optional<answer>
read_flow::OnNoServer(reason aWhy, clock::time_point aNow)
{
  // Servers that were behind may have caught up by the next attempt.
  mTriedServers.clear();
  if (aWhy == reason::kNoEligibleServer || HasWaitedTooLong(aNow)) {
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
  auto batch = Preamble();
  batch.insert(
    batch.end(), Request().statements.begin(), Request().statements.end());
  if (NeedsStatusAfter()) {
    batch.push_back(Context().dialect->Status());
  }
  return batch;
}

bool
read_flow::ShouldAbort(clock::time_point aNow) const
{
  // A server that runs a long statement still answers status requests; one that
  // does not answer is cut off or frozen.
  const auto& settings = Context().settings;
  const auto time = Request().deadline - mDispatch.sentAt;
  const auto minSilence = settings.statusInterval * kMinSilentIntervals;
  const auto silence = std::clamp<clock::duration>(
    time / 2, minSilence, settings.statusTimeout + minSilence);
  const auto* status = Context().tracker.Find(mDispatch.server);
  const auto lastStatusAt = status == nullptr
                              ? mDispatch.sentAt
                              : std::max(mDispatch.sentAt, status->askedAt);
  return aNow >= lastStatusAt + silence;
}

reply_outcome
read_flow::Replied(upstream::reply aReply, clock::time_point aNow)
{
  if (aReply.end == batch_end::kServerError) {
    return OnServerError(aReply);
  }
  if (aReply.end == batch_end::kIndeterminate) {
    return OnTorn(aReply);
  }
  const auto preamble = Preamble().size();
  const auto end = preamble + Request().statements.size();
  const auto before = TakeStatus(Context(), mDispatch, aReply, 0);
  const auto after = TakeStatus(
    Context(), mDispatch, aReply, NeedsStatusAfter() ? end : preamble - 1);
  if (!before || !after || aReply.results.size() < end) {
    return { RetryElsewhere(reason::kUnreachable), connection_fate::kClose };
  }
  mEvidence.before = *before;
  mEvidence.after = *after;
  mAnswer = ServedBy(Request(), mDispatch, after->role);
  mAnswer.position = after->applied;
  const auto begin = aReply.results.begin();
  mAnswer.results.assign(
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(preamble)),
    std::make_move_iterator(begin + static_cast<std::ptrdiff_t>(end)));
  auto next = Decide(aNow);
  return { next ? std::move(*next) : step{ await_status{} },
           connection_fate::kKeep };
}

std::optional<step>
read_flow::OnStatusUpdate(clock::time_point aNow)
{
  return Decide(aNow);
}

bool
read_flow::NeedsStatus() const
{
  return IsFresh(Request());
}

answer
read_flow::Expired(stage) const
{
  // A read has no effects beyond its rows.
  return NotRun(Request(), reason::kDeadline);
}

std::vector<upstream::statement>
read_flow::Preamble() const
{
  return { Context().dialect->Status() };
}

bool
read_flow::NeedsStatusAfter() const
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
  switch (VerifyRead(Request(), mEvidence, Context().tracker, aNow)) {
    case read_verdict::kGood:
      return finish{ std::move(mAnswer) };
    case read_verdict::kBad:
      return RetryElsewhere(reason::kTooStale);
    case read_verdict::kUnconfirmed:
      break;
  }
  return std::nullopt;
}

step
read_flow::RetryElsewhere(reason aWhy)
{
  mTriedServers.push_back(mDispatch.server);
  if (!Context().retries.TryWithdraw()) {
    return finish{ NotRun(Request(), aWhy) };
  }
  return requeue{};
}

reply_outcome
read_flow::OnServerError(const upstream::reply& aReply)
{
  if (Classify(aReply.sqlState) == refusal::kTransient ||
      aReply.sqlState == upstream::kStaleTermSqlState) {
    return { RetryElsewhere(reason::kUnreachable), connection_fate::kClose };
  }
  return { finish{ StatementRefused(Request(), aReply) },
           connection_fate::kKeep };
}

reply_outcome
read_flow::OnTorn(const upstream::reply& aReply)
{
  if (aReply.sqlState == upstream::kAnswerLimitSqlState) {
    return { finish{ Refused(Request(), reason::kAnswerTooLarge) },
             connection_fate::kClose };
  }
  return { RetryElsewhere(reason::kUnreachable), connection_fate::kClose };
}

} // namespace currantshed::group
