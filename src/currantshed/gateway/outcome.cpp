#include <cstddef>
#include <utility>

#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

using group::operation;
using outcome::reason;
using outcome::verdict;

constexpr std::chrono::milliseconds kRetryAfter{ 100 };
/// An unknown outcome is resolved only if this many return margins are left
/// before the deadline.
constexpr int kResolveMargins = 3;

/// Whether only the pooler that opened the transaction can serve the call.
bool
IsBound(const exchange& aExchange)
{
  const auto kind = aExchange.request.kind;
  return kind == call_kind::kStatement || kind == call_kind::kCommit ||
         kind == call_kind::kRollback;
}

/// Whether the call has a key under which its outcome can be queried.
bool
HasOutcome(const exchange& aExchange)
{
  return Changes(aExchange) || aExchange.request.kind == call_kind::kOutcome;
}

/// Whether a reply carries a confirmed position of the group.
bool
ShowsPosition(const exchange& aExchange)
{
  return aExchange.request.kind == call_kind::kStatements ||
         HasOutcome(aExchange);
}

std::size_t
ValueBytes(const caller_answer& aAnswer)
{
  std::size_t bytes = 0;
  for (const auto& result : aAnswer.results) {
    for (const auto& cell : result.cells) {
      bytes += cell ? cell->size() : 0;
    }
  }
  return bytes;
}

class resolve_outcome final : public filter
{
public:
  explicit resolve_outcome(shared_state& aState)
    : mState(aState)
  {
  }

  step Back(exchange& aExchange, clock::time_point aNow) override
  {
    switch (aExchange.returnCause) {
      case return_cause::kSettled:
        return Settle(aExchange, std::move(aExchange.answer));
      case return_cause::kReply:
        return OnReply(aExchange, aNow);
      case return_cause::kPoolerLost:
        return OnPoolerLost(aExchange, aNow);
      case return_cause::kNotSent:
        return OnNotSent(aExchange, aNow);
      case return_cause::kDeadline:
      case return_cause::kCallerGone:
        break;
    }
    return Settle(aExchange, NotRun(reason::kDeadline, RetryAfter()));
  }

private:
  step OnReply(exchange& aExchange, clock::time_point aNow)
  {
    if (aExchange.next == operation::kResolve) {
      return OnResolved(aExchange, aNow);
    }
    if (CanTryNext(aExchange, aNow)) {
      aExchange.failedVms.push_back(aExchange.vm);
      return Retry(aExchange);
    }
    if (Changes(aExchange) && IsOutcomeUnknown(aExchange) &&
        TimeLeft(aExchange, aNow)) {
      return Resolve(aExchange, aNow);
    }
    return Settle(aExchange, Translate(aExchange));
  }

  /// Whether the request can be retried at the group's next owner: the pooler
  /// certainly did not run it, for a reason that does not apply to other
  /// owners. Also records the pooler as suspect.
  [[nodiscard]] bool CanTryNext(const exchange& aExchange,
                                clock::time_point aNow)
  {
    const group::answer& reply = aExchange.reply;
    if (reply.verdict != verdict::kNotRun || IsBound(aExchange)) {
      return false;
    }
    const auto until = aNow + mState.settings.suspectDuration;
    if (reply.why == reason::kLeaving) {
      mState.health.MarkSuspect(aExchange.vm, until);
    } else if (reply.why == reason::kNoPrimary) {
      // The pooler may be partitioned from a primary that others can reach.
      mState.health.MarkSuspectForGroup(aExchange.group, aExchange.vm, until);
    } else {
      return false;
    }
    const std::size_t owners = mState.Owners(aExchange.group).size();
    return aExchange.failedVms.size() + 1 < owners &&
           TimeLeft(aExchange, aNow) && mState.retries.TryWithdraw();
  }

  /// Whether the outcome of the change is unknown after this reply.
  [[nodiscard]] static bool IsOutcomeUnknown(const exchange& aExchange)
  {
    const group::answer& reply = aExchange.reply;
    if (reply.verdict == verdict::kUnknown) {
      return true;
    }
    if (reply.verdict != verdict::kNotRun) {
      return false;
    }
    // The pooler does not know the transaction. An earlier call whose response
    // was lost may have committed it.
    const bool lostCommit = aExchange.next == operation::kCommit &&
                            reply.why == reason::kTransactionLost;
    return lostCommit ||
           (aExchange.outcomeUnknown && reply.why != reason::kKeyVoid);
  }

  /// Handles the reply to a query by key: the change was applied, can never be
  /// applied, or its outcome could not be determined this time.
  step OnResolved(exchange& aExchange, clock::time_point aNow)
  {
    const group::answer& reply = aExchange.reply;
    const bool isOutcomeQuery = aExchange.request.kind == call_kind::kOutcome;
    if (reply.verdict == verdict::kDone) {
      aExchange.outcomeUnknown = false;
      caller_answer answer = Translate(aExchange);
      answer.results.clear();
      answer.repeated = !isOutcomeQuery;
      return Settle(aExchange, std::move(answer));
    }
    if (reply.verdict == verdict::kNotRun && reply.why == reason::kKeyVoid) {
      aExchange.outcomeUnknown = false;
      return Settle(aExchange, Translate(aExchange));
    }
    if (reply.verdict == verdict::kRefused) {
      aExchange.outcomeUnknown = aExchange.outcomeUnknown || !isOutcomeQuery;
      return Settle(aExchange, Translate(aExchange));
    }
    if (!TimeLeft(aExchange, aNow)) {
      aExchange.outcomeUnknown = true;
      return Settle(aExchange, Translate(aExchange));
    }
    if (reply.why == reason::kLeaving) {
      aExchange.failedVms.push_back(aExchange.vm);
    }
    aExchange.notBefore = aNow + mState.settings.retryDelay;
    return step::kForward;
  }

  step OnPoolerLost(exchange& aExchange, clock::time_point aNow)
  {
    switch (aExchange.next) {
      case operation::kResolve:
        return step::kForward;
      case operation::kCommit:
      case operation::kReconfirm:
        return Resolve(aExchange, aNow);
      case operation::kWrite:
        if (aExchange.work->repeatable && mState.retries.TryWithdraw()) {
          return Retry(aExchange);
        }
        return Resolve(aExchange, aNow);
      case operation::kRead:
        if (mState.retries.TryWithdraw()) {
          return Retry(aExchange);
        }
        return Settle(aExchange, NotRun(reason::kUnreachable, RetryAfter()));
      default:
        return Settle(aExchange,
                      NotRun(reason::kTransactionLost, RetryAfter()));
    }
  }

  step OnNotSent(exchange& aExchange, clock::time_point aNow)
  {
    switch (aExchange.next) {
      case operation::kCommit:
        // An earlier call may have committed it.
        return Resolve(aExchange, aNow);
      case operation::kStatement:
      case operation::kRollback:
        return Settle(aExchange, NotRun(reason::kUnreachable, RetryAfter()));
      default:
        return step::kForward;
    }
  }

  step Retry(exchange& aExchange)
  {
    ++mState.counters.retries;
    aExchange.notBefore = {};
    return step::kForward;
  }

  step Resolve(exchange& aExchange, clock::time_point aNow)
  {
    ++mState.counters.resolutions;
    aExchange.outcomeUnknown = true;
    aExchange.next = operation::kResolve;
    aExchange.notBefore = aNow;
    return step::kForward;
  }

  [[nodiscard]] bool TimeLeft(const exchange& aExchange,
                              clock::time_point aNow) const
  {
    return aNow + kResolveMargins * mState.settings.returnMargin <
           aExchange.deadline;
  }

  [[nodiscard]] std::chrono::milliseconds RetryAfter()
  {
    return mState.AddJitter(kRetryAfter);
  }

  [[nodiscard]] caller_answer Translate(exchange& aExchange)
  {
    group::answer& reply = aExchange.reply;
    caller_answer answer;
    answer.verdict = reply.verdict;
    answer.why = reply.why;
    answer.message = std::move(reply.message);
    answer.results = std::move(reply.results);
    answer.servedBy = std::move(reply.servedBy);
    answer.failureDomain = std::move(reply.failureDomain);
    answer.byReplica = reply.byReplica;
    answer.repeated = reply.repeated;
    answer.sqlState = std::move(reply.sqlState);
    answer.retryAfter = reply.retryAfter;
    if (answer.verdict == verdict::kDone) {
      ApplySuccess(aExchange, answer);
      LimitResultSize(aExchange, answer);
    }
    return answer;
  }

  /// Drops a result over the size limit. A change that was applied is still
  /// reported as done.
  void LimitResultSize(const exchange& aExchange, caller_answer& aAnswer) const
  {
    if (ValueBytes(aAnswer) <= mState.settings.answerBytes) {
      return;
    }
    aAnswer.results.clear();
    aAnswer.why = reason::kAnswerTooLarge;
    if (!HasOutcome(aExchange)) {
      aAnswer.verdict = verdict::kRefused;
    }
  }

  /// Adds what a successful reply implies: the session's position, or the
  /// transaction that was opened.
  void ApplySuccess(exchange& aExchange, caller_answer& aAnswer) const
  {
    if (ShowsPosition(aExchange)) {
      aExchange.seen.AdvanceTo(aExchange.group, aExchange.reply.position);
    }
    if (aExchange.request.kind == call_kind::kBegin) {
      const transaction_handle name{ aExchange.vm,
                                     aExchange.incarnation,
                                     aExchange.reply.transaction,
                                     aExchange.work->name,
                                     aExchange.group,
                                     aExchange.key };
      aAnswer.transaction = MakeTransactionId(name, mState.keys);
    }
  }

  /// Every response passes through here: an operation that was sent and isn't
  /// known to have failed is never reported as not run.
  step Settle(exchange& aExchange, caller_answer aAnswer)
  {
    const bool isOutcomeQuery = aExchange.request.kind == call_kind::kOutcome;
    const bool notPerformed = aAnswer.verdict == verdict::kNotRun ||
                              aAnswer.verdict == verdict::kRefused;
    if (aExchange.outcomeUnknown && notPerformed) {
      aAnswer.verdict = verdict::kUnknown;
    }
    if (isOutcomeQuery && aAnswer.verdict == verdict::kNotRun &&
        aAnswer.why != reason::kKeyVoid) {
      aAnswer.verdict = verdict::kUnknown;
    }
    if (aAnswer.verdict == verdict::kUnknown) {
      aAnswer.retryAfter = {};
      if (HasOutcome(aExchange)) {
        aAnswer.outcomePath = OutcomePath(aExchange.group, aExchange.key);
      }
    }
    if (aAnswer.verdict == verdict::kNotRun &&
        aAnswer.retryAfter == std::chrono::milliseconds(0)) {
      aAnswer.retryAfter = RetryAfter();
    }
    aAnswer.group = aExchange.group;
    if (HasOutcome(aExchange) || aExchange.request.kind == call_kind::kBegin) {
      aAnswer.key = aExchange.key;
    }
    aExchange.answer = std::move(aAnswer);
    return step::kBack;
  }

  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeOutcome(shared_state& aState)
{
  return std::make_unique<resolve_outcome>(aState);
}

} // namespace currantshed::gateway
