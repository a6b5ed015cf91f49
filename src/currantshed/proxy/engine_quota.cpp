// Quotas: limits how many operations of a customer may be sent.
#include <algorithm>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// Divisor of the target that limits how long an operation waits for its token:
// requesting one takes a few milliseconds, and the rest is needed to serve the
// operation.
constexpr int kTokenWaitDivisor = 2;

} // namespace

// Whether the session's request may begin. A transaction takes one token, with
// its first statement. Without an available token the request waits for one.
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
  request.token.Require();
  if (mTokenQueues[request.customer].empty() &&
      TakeCachedToken(request, aNow)) {
    return true;
  }
  const auto until =
    aNow + (request.waitUntil - request.arrivedAt) / kTokenWaitDivisor;
  AwaitToken(aSession, until, aNow);
  return false;
}

// Whether the session's request may be sent now. Its token may have expired
// while it waited for a connection, or have been used by an attempt that a
// server may have run; then the request waits for another one, until its
// deadline at most. Operations that wait first get tokens first.
bool
engine::TakeTokenAgain(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  if (request.token.PermitsSend(aNow)) {
    return true;
  }
  if (mTokenQueues[request.customer].empty() &&
      TakeCachedToken(request, aNow)) {
    return true;
  }
  RecordDecision(aSession,
                 "held",
                 request.token.IsUsed() ? "token_used" : "token_expired",
                 false,
                 aNow);
  AwaitToken(aSession, request.deadline, aNow);
  return false;
}

bool
engine::TakeCachedToken(request& aRequest, clock::time_point aNow)
{
  const auto askedAt = mTokens.Take(aRequest.customer, aNow);
  if (askedAt) {
    aRequest.token.Grant(*askedAt);
  }
  return askedAt.has_value();
}

void
engine::AwaitToken(session& aSession,
                   clock::time_point aUntil,
                   clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.progress = stage::kAwaitingToken;
  request.queueUntil = request.waitUntil;
  request.waitUntil = aUntil;
  ScheduleTimer(aSession, std::max(aUntil, aNow));
  mTokenQueues[request.customer].push_back(aSession.number);
  mHost.NeedsTokens(request.customer, 1);
}

// The request has ended. A token that it did not use goes to the next one, with
// its age.
void
engine::ReturnToken(session& aSession)
{
  auto& request = *aSession.current;
  if (const auto askedAt = request.token.TakeUnused()) {
    mTokens.Put(request.customer, 1, *askedAt);
  }
}

// Removes and returns the first session that still waits for a token of the
// customer; null when there is none.
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
    const bool waits =
      owner != mSessions.end() && owner->second->current &&
      owner->second->current->progress == stage::kAwaitingToken;
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
  (void)ServeAwaitingTokens(aCustomer, aNow);
}

// Gives the tokens at hand to the operations that wait for some, in order.
// Returns how many were served.
unsigned
engine::ServeAwaitingTokens(const std::string& aCustomer,
                            clock::time_point aNow)
{
  unsigned served = 0;
  while (auto* next = NextAwaitingToken(aCustomer)) {
    auto& request = *next->current;
    if (!TakeCachedToken(request, aNow)) {
      mTokenQueues[aCustomer].push_front(next->number);
      break;
    }
    ++served;
    const auto id = next->number;
    request.progress = stage::kQueued;
    request.waitUntil = request.queueUntil;
    Dispatch(*next, aNow);
    RemoveIfCallerLeft(id);
  }
  return served;
}

void
engine::RefuseTokens(const std::string& aCustomer,
                     unsigned aCount,
                     milliseconds aRetryAfter,
                     clock::time_point aNow)
{
  // Other operations may have returned tokens meanwhile.
  for (auto i = ServeAwaitingTokens(aCustomer, aNow); i < aCount; ++i) {
    auto* next = NextAwaitingToken(aCustomer);
    if (next == nullptr) {
      return;
    }
    const auto id = next->number;
    RejectOverQuota(*next, aRetryAfter, aNow);
    RemoveIfCallerLeft(id);
  }
}

// The error guarantees that the operation has not run only where this is known.

void
engine::RejectOverQuota(session& aSession,
                        milliseconds aRetryAfter,
                        clock::time_point aNow)
{
  const auto& request = *aSession.current;
  const std::string why = !request.token.HadToken() ? "over_quota"
                          : request.token.IsUsed()  ? "token_used"
                                                    : "token_expired";
  Fail(aSession,
       RefusalCode(request),
       absl::StrCat(why, "; retry after ", aRetryAfter.count(), " ms"),
       aNow);
}

} // namespace currantshed::proxy
