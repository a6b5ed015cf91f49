#include <algorithm>
#include <utility>

#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

using group::operation;

constexpr int kReadTimeoutDivisor = 4;
constexpr int kChangeTimeoutDivisor = 2;
constexpr std::chrono::milliseconds kRetryAfter{ 100 };

/// Whether the operation belongs to an open transaction, which only the pooler
/// that opened it knows.
bool
IsBound(operation aOperation)
{
  return aOperation == operation::kStatement ||
         aOperation == operation::kCommit || aOperation == operation::kRollback;
}

bool
Contains(const std::vector<std::string>& aList, const std::string& aVm)
{
  return std::find(aList.begin(), aList.end(), aVm) != aList.end();
}

class route final : public filter
{
public:
  explicit route(shared_state& aState)
    : mState(aState)
  {
  }

  step Forward(exchange& aExchange, clock::time_point aNow) override
  {
    if (aNow < aExchange.notBefore) {
      aExchange.due = std::min(aExchange.notBefore, aExchange.deadline);
      return step::kWait;
    }
    if (IsBound(aExchange.next)) {
      return ForwardBound(aExchange, aNow);
    }
    const std::string* vm = SelectOwner(aExchange, aNow);
    if (vm != nullptr) {
      return Send(aExchange, *vm, aNow);
    }
    if (!aExchange.outcomeUnknown) {
      aExchange.answer =
        NotRun(outcome::reason::kUnreachable, mState.AddJitter(kRetryAfter));
      return step::kBack;
    }
    aExchange.notBefore = aNow + mState.settings.retryDelay;
    aExchange.due = std::min(aExchange.notBefore, aExchange.deadline);
    return step::kWait;
  }

  step Back(exchange& aExchange, clock::time_point aNow) override
  {
    const bool inFlight = aExchange.sentAs != 0;
    if (aExchange.returnCause == return_cause::kReply) {
      mState.health.RecordReply(aExchange.vm, aNow);
    } else if (aExchange.returnCause == return_cause::kNotSent) {
      MarkFailed(aExchange, aNow);
    } else if (inFlight) {
      aExchange.outcomeUnknown = true;
      mState.actions.emplace_back(
        cancel_at_pooler{ aExchange.vm, aExchange.sentAs });
      if (aExchange.returnCause == return_cause::kPoolerLost) {
        MarkFailed(aExchange, aNow);
      }
    }
    aExchange.sentAs = 0;
    return step::kBack;
  }

private:
  step ForwardBound(exchange& aExchange, clock::time_point aNow)
  {
    const transaction_handle& name = aExchange.transaction;
    if (mState.IsLive(name.vm)) {
      return Send(aExchange, name.vm, aNow);
    }
    if (aExchange.next != operation::kCommit) {
      aExchange.answer = NotRun(outcome::reason::kTransactionLost, {});
      return step::kBack;
    }
    // An earlier commit of this transaction may have run, through this gateway
    // or another one.
    ++mState.counters.resolutions;
    aExchange.next = operation::kResolve;
    aExchange.outcomeUnknown = true;
    return Forward(aExchange, aNow);
  }

  /// Selects the first owner that is not suspect or, if all are, the first one
  /// that has not failed for this exchange; null if all of them have.
  [[nodiscard]] const std::string* SelectOwner(exchange& aExchange,
                                               clock::time_point aNow)
  {
    const auto& owners = mState.Owners(aExchange.group);
    const std::string* fallback = nullptr;
    for (const std::string& vm : owners) {
      if (Contains(aExchange.failedVms, vm)) {
        continue;
      }
      if (!mState.health.IsSuspect(aExchange.group, vm, aNow)) {
        return &vm;
      }
      if (fallback == nullptr) {
        fallback = &vm;
      }
    }
    if (fallback == nullptr) {
      // The next attempt starts again with the first owner.
      aExchange.failedVms.clear();
    }
    return fallback;
  }

  step Send(exchange& aExchange, const std::string& aVm, clock::time_point aNow)
  {
    aExchange.vm = aVm;
    aExchange.sentAs = ++mState.lastSent;
    aExchange.sentAt = aNow;
    aExchange.replyTimeout = ReplyTimeout(aExchange, aNow);
    aExchange.due = std::min(aExchange.deadline, aNow + aExchange.replyTimeout);
    mState.actions.emplace_back(Compose(aExchange));
    return step::kWait;
  }

  /// Time to wait for a reply. It grows with the time left before the deadline,
  /// so that slow statements are not given up early.
  [[nodiscard]] clock::duration ReplyTimeout(const exchange& aExchange,
                                             clock::time_point aNow) const
  {
    const clock::duration left = aExchange.deadline - aNow;
    if (aExchange.next == operation::kRead) {
      return std::max<clock::duration>(mState.settings.minReadReplyTimeout,
                                       left / kReadTimeoutDivisor);
    }
    return std::max<clock::duration>(mState.settings.minChangeReplyTimeout,
                                     left / kChangeTimeoutDivisor);
  }

  [[nodiscard]] send_to_pooler Compose(const exchange& aExchange) const
  {
    send_to_pooler message;
    message.vm = aExchange.vm;
    message.group = aExchange.group;
    group::request& request = message.request;
    request.id = aExchange.sentAs;
    request.kind = aExchange.next;
    if (aExchange.work != nullptr) {
      request.work = *aExchange.work;
    }
    const bool isQuery = aExchange.next == operation::kResolve ||
                         aExchange.next == operation::kReconfirm;
    if (!isQuery) {
      request.statements = aExchange.request.statements;
    }
    request.key = aExchange.key;
    const auto floor = aExchange.seen.Floor(aExchange.group);
    request.floor = floor.position;
    request.fresh = floor.fresh;
    request.deadline = aExchange.deadline - mState.settings.returnMargin;
    request.position = aExchange.positionToConfirm;
    if (IsBound(aExchange.next)) {
      request.transaction = aExchange.transaction.number;
      message.incarnation = aExchange.transaction.incarnation;
    }
    return message;
  }

  void MarkFailed(exchange& aExchange, clock::time_point aNow)
  {
    mState.health.MarkSuspect(aExchange.vm,
                              aNow + mState.settings.suspectDuration);
    aExchange.failedVms.push_back(aExchange.vm);
  }

  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeRoute(shared_state& aState)
{
  return std::make_unique<route>(aState);
}

} // namespace currantshed::gateway
