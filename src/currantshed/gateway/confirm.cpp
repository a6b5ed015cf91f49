#include <utility>

#include "currantshed/gateway/exchange.hpp"
#include "currantshed/gateway/filter.hpp"
#include "currantshed/gateway/shared_state.hpp"

namespace currantshed::gateway {

namespace {

using group::operation;

/// Whether success of the operation acknowledges a change.
bool
Acknowledges(operation aOperation)
{
  return aOperation == operation::kWrite || aOperation == operation::kCommit ||
         aOperation == operation::kResolve;
}

/// Accepts an acknowledgement only within the validity after the request was
/// sent. The pooler queried the group's members after receiving the request,
/// hence after the gateway sent it, and no other primary can have accepted a
/// write within the validity from then on.
class confirm final : public filter
{
public:
  explicit confirm(shared_state& aState)
    : mState(aState)
  {
  }

  step Back(exchange& aExchange, clock::time_point aNow) override
  {
    if (aExchange.returnCause != return_cause::kReply) {
      return step::kBack;
    }
    const bool done = aExchange.reply.verdict == outcome::verdict::kDone;
    if (aExchange.next == operation::kReconfirm) {
      return OnReconfirmed(aExchange, done, aNow);
    }
    if (!done || !Acknowledges(aExchange.next) || InTime(aExchange, aNow)) {
      return step::kBack;
    }
    aExchange.changeReply = std::move(aExchange.reply);
    aExchange.changeOperation = aExchange.next;
    aExchange.positionToConfirm = aExchange.changeReply.position;
    return Reconfirm(aExchange, operation::kReconfirm, aNow);
  }

private:
  [[nodiscard]] bool InTime(const exchange& aExchange,
                            clock::time_point aNow) const
  {
    return aNow <= aExchange.sentAt + mState.settings.validity;
  }

  step OnReconfirmed(exchange& aExchange, bool aDone, clock::time_point aNow)
  {
    if (!aDone) {
      // The term has changed, or its state can't be determined now. The outcome
      // is resolved by key at the primary of that time.
      ++mState.counters.resolutions;
      aExchange.next = operation::kResolve;
      aExchange.notBefore = aNow + mState.settings.retryDelay;
      return step::kForward;
    }
    if (!InTime(aExchange, aNow)) {
      return Reconfirm(aExchange, operation::kReconfirm, aNow);
    }
    aExchange.reply = std::move(aExchange.changeReply);
    aExchange.next = aExchange.changeOperation;
    aExchange.outcomeUnknown = false;
    return step::kBack;
  }

  step Reconfirm(exchange& aExchange, operation aNext, clock::time_point aNow)
  {
    ++mState.counters.reconfirmations;
    aExchange.outcomeUnknown = true;
    aExchange.next = aNext;
    aExchange.notBefore = aNow;
    return step::kForward;
  }

  shared_state& mState;
};

} // namespace

std::unique_ptr<filter>
MakeConfirm(shared_state& aState)
{
  return std::make_unique<confirm>(aState);
}

} // namespace currantshed::gateway
