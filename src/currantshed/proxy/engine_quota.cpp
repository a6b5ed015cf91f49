// How many operations of a customer may begin.
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// How long an operation waits for its token, as a part of its target: asking
// takes a few milliseconds, and what is left over is needed to serve it.
constexpr int kTokenWaitDivisor = 2;

} // namespace

// Whether the session's request may begin. A transaction counts once, with its
// first statement. Where there is no token at hand the request waits for one.
bool
engine::TakeToken(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  const bool isCounted =
    aSession.transaction && aSession.transaction->isCounted;
  if (isCounted || aSession.IsRelay() || request.customer.empty()) {
    return true;
  }
  const auto owner = CustomerOf(aSession, *request.assignedRoute);
  if (owner == nullptr || !owner->limit) {
    return true;
  }
  if (aSession.transaction) {
    aSession.transaction->isCounted = true;
  }
  auto& queue = mTokenQueues[request.customer];
  if (queue.empty() && mTokens.Take(request.customer, aNow)) {
    return true;
  }
  request.at = stage::kAwaitingToken;
  request.waitUntil =
    aNow + (request.waitUntil - request.arrivedAt) / kTokenWaitDivisor;
  Schedule(aSession, request.waitUntil);
  queue.push_back(aSession.number);
  mHost.NeedsTokens(request.customer, 1);
  return false;
}

// The first session that still waits for a token of the customer, taken off its
// queue; null where there is none.
session*
engine::NextAwaitingToken(const std::string& aCustomer)
{
  const auto found = mTokenQueues.find(aCustomer);
  if (found == mTokenQueues.end()) {
    return nullptr;
  }
  auto& queue = found->second;
  while (!queue.empty()) {
    const auto id = queue.front();
    queue.pop_front();
    const auto owner = mSessions.find(id);
    const bool waits = owner != mSessions.end() && owner->second->current &&
                       owner->second->current->at == stage::kAwaitingToken;
    if (waits) {
      return owner->second.get();
    }
  }
  mTokenQueues.erase(found);
  return nullptr;
}

void
engine::GrantTokens(const std::string& aCustomer,
                    unsigned aCount,
                    clock::time_point aAskedAt,
                    clock::time_point aNow)
{
  mTokens.Put(aCustomer, aCount, aAskedAt);
  while (auto* next = NextAwaitingToken(aCustomer)) {
    if (!mTokens.Take(aCustomer, aNow)) {
      mTokenQueues[aCustomer].push_front(next->number);
      return;
    }
    auto& request = *next->current;
    request.at = stage::kQueued;
    request.waitUntil = std::min(
      request.arrivedAt + request.assignedRoute->target, request.deadline);
    Dispatch(*next, aNow);
  }
}

void
engine::RefuseTokens(const std::string& aCustomer,
                     unsigned aCount,
                     milliseconds aRetryAfter,
                     clock::time_point aNow)
{
  for (unsigned i = 0; i < aCount; ++i) {
    auto* next = NextAwaitingToken(aCustomer);
    if (next == nullptr) {
      return;
    }
    RefuseOverQuota(*next, aRetryAfter, aNow);
  }
}

void
engine::RefuseOverQuota(session& aSession,
                        milliseconds aRetryAfter,
                        clock::time_point aNow)
{
  Fail(aSession,
       failure_code::kBusy,
       absl::StrCat("over_quota; retry after ", aRetryAfter.count(), " ms"),
       aNow);
}

} // namespace currantshed::proxy
