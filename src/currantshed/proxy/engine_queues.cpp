// Dispatch queues: how requests wait for a connection, are rejected, or get
// one.
#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// Maximum length of a dispatch queue. It bounds memory until a service rate has
// been measured; after that the rate limits the queue earlier.
constexpr std::size_t kMaxQueued = 512;
// Burst of the retry budget, on top of a tenth of the requests. A VM in a large
// fleet sends a group a few statements per second: this suffices for one server
// that begins to reject work.
constexpr double kRetryBudgetBurst = 3.0;
constexpr std::string_view kPrimaryQueue = "primary";
constexpr std::string_view kReadsQueue = "reads";

} // namespace

void
engine::Enqueue(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.progress = stage::kQueued;
  request.rejectedBy.clear();
  if (std::exchange(request.unservable, false)) {
    Reject(aSession, "primary_reserved", aNow);
    return;
  }
  const auto made = Admit(aSession, aNow);
  if (!made.admitted) {
    Reject(aSession,
           IsAtLimit(aSession, aNow) ? "queue_full_at_limit" : "queue_full",
           aNow);
    return;
  }
  mWaiting[request.number] = aSession.number;
  ScheduleTimer(aSession, std::max(request.waitUntil, aNow));
  // Displaced requests are rejected at once, so that their callers can retry.
  for (const auto number : made.displaced) {
    const auto owner = mWaiting.find(number);
    if (owner != mWaiting.end()) {
      auto& displaced = *mSessions.at(owner->second);
      mWaiting.erase(owner);
      Reject(displaced, "displaced", aNow);
    }
  }
}

// Queues the request, by route priority and then by time, if it is expected to
// be answered in time. Half of the target is reserved for a caller that is
// rejected and retries; without attributes, the time limit of a relayed request
// is already part of the other VM's limit. During an outage, while the primary
// is being replaced or unknown, a rejected caller would use up its retries too
// early: the request waits as long as its statement may take, behind all
// requests that can still meet their target.
admit::admission
engine::Admit(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& queue = QueueOf(aSession);
  if (request.queueEntry) {
    queue.Requeue(*request.queueEntry);
    return { true, {} };
  }
  auto answeredBy = request.waitUntil;
  if (IsOutage(aSession, aNow)) {
    request.waitUntil = request.deadline;
    answeredBy = request.deadline;
  } else if (!aSession.IsRelay() || request.attributes) {
    answeredBy -= (request.waitUntil - request.arrivedAt) / 2;
  }
  request.queueEntry = admit::queued_request{ answeredBy,
                                              request.number,
                                              1.0 / (1.0 + request.priority) };
  auto made = queue.TryAdmit(*request.queueEntry, aNow);
  if (!made.admitted) {
    request.queueEntry.reset();
  }
  return made;
}

// Whether no server can serve the request at present, independently of load: a
// failover completes within two seconds.
bool
engine::IsOutage(const session& aSession, clock::time_point aNow)
{
  if (aSession.IsRelay()) {
    return false;
  }
  const auto& request = *aSession.current;
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  if (request.needsPrimary) {
    return !IsConfirmedPrimary(
             leadership, leadership.confirmed.primary, aNow) ||
           !AcceptsWork(leadership.confirmed.primary, request, aNow);
  }
  const auto& servers = ServersOf(request.assignedRoute->service);
  return std::none_of(servers.begin(), servers.end(), [&](auto* aState) {
    return CanServe(WithPlan(*aState), request, leadership, aNow);
  });
}

// Rejects the request. The error guarantees that it has not run only where this
// is known.
void
engine::Reject(session& aSession, std::string_view aWhy, clock::time_point aNow)
{
  const auto after =
    QueueOf(aSession).RetryAfter(aSession.current->number, aNow);
  Fail(aSession,
       RefusalCode(*aSession.current),
       absl::StrCat(std::string(aWhy), "; retry after ", after.count(), " ms"),
       aNow);
}

failure_code
engine::RefusalCode(const request& aRequest) noexcept
{
  return aRequest.mayHaveRun ? failure_code::kFailed : failure_code::kBusy;
}

// What a request that was not served in time lacked, as one word.
std::string_view
engine::MissingResource(const session& aSession, clock::time_point aNow)
{
  if (aSession.IsRelay()) {
    return IsAtLimit(aSession, aNow) ? "concurrency_limit" : "server_busy";
  }
  const auto& request = *aSession.current;
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  if (request.needsPrimary &&
      !AcceptsWork(leadership.confirmed.primary, request, aNow)) {
    return "primary_leaves";
  }
  if (request.needsPrimary || !request.floor.position) {
    if (!IsConfirmedPrimary(leadership, leadership.confirmed.primary, aNow)) {
      return "primary_not_proved";
    }
    return IsAtLimit(aSession, aNow) ? "concurrency_limit" : "primary_busy";
  }
  return IsOutage(aSession, aNow) ? "replicas_behind" : "servers_busy";
}

// Requests for the same servers share a dispatch queue, and its service rate.
admit::deadline_queue&
engine::QueueOf(const session& aSession)
{
  const auto& request = *aSession.current;
  const auto name = aSession.IsRelay()     ? aSession.relayTarget
                    : request.needsPrimary ? std::string(kPrimaryQueue)
                                           : std::string(kReadsQueue);
  auto& queues = mQueues[request.assignedRoute->service];
  return queues.try_emplace(name, kMaxQueued).first->second;
}

// The load of a relay session's server, for a VM that sends attributes.
std::optional<server_load>
engine::LoadFor(const session& aSession, clock::time_point aNow)
{
  const auto* state = aSession.IsRelay() ? Find(aSession.relayTarget) : nullptr;
  if (state == nullptr || !aSession.current || !aSession.current->attributes) {
    return std::nullopt;
  }
  const auto& queue = QueueOf(aSession);
  server_load load;
  load.expectedWait = std::chrono::ceil<milliseconds>(queue.ExpectedWait());
  load.queued = static_cast<unsigned>(queue.Entries().size());
  load.running = state->Running();
  load.failurePermille = state->health.FailurePermille(aNow);
  load.lag = std::chrono::ceil<milliseconds>(state->Lag(aNow));
  return load;
}

admit::retry_budget&
engine::RetriesOf(const request& aRequest)
{
  return mRetries
    .try_emplace(aRequest.assignedRoute->service, kRetryBudgetBurst)
    .first->second;
}

void
engine::Dequeue(session& aSession)
{
  const auto& request = *aSession.current;
  if (request.queueEntry) {
    QueueOf(aSession).Remove(*request.queueEntry);
  }
  mWaiting.erase(request.number);
}

// Assigns connections to queued requests: first, in order, to those that can
// still meet their deadline, then to the others.
void
engine::DispatchQueued(const std::string& aService,
                       clock::time_point aNow,
                       bool aIdleFirst)
{
  const auto found = mQueues.find(aService);
  if (found == mQueues.end()) {
    return;
  }
  // Idle connections are first given to requests that can use them as they are;
  // only then is one closed to open another.
  if (mConfiguration->customers != nullptr && aIdleFirst) {
    mOnlyIdle = true;
    DispatchQueues(found->second, aNow);
    mOnlyIdle = false;
  }
  DispatchQueues(found->second, aNow);
}

void
engine::DispatchQueues(dispatch_queues& aQueues, clock::time_point aNow)
{
  blocked_queues blocked;
  for (const bool inTime : { true, false }) {
    for (auto& [name, queue] : aQueues) {
      DispatchQueue(queue, inTime, blocked, aNow);
    }
  }
}

void
engine::DispatchQueue(admit::deadline_queue& aQueue,
                      bool aInTime,
                      blocked_queues& aBlocked,
                      clock::time_point aNow)
{
  const std::vector<admit::queued_request> waiting(aQueue.Entries().begin(),
                                                   aQueue.Entries().end());
  for (const auto& queueEntry : waiting) {
    if (aQueue.CanMeetDeadline(queueEntry, aNow) != aInTime) {
      continue;
    }
    const auto owner = mWaiting.find(queueEntry.request);
    if (owner == mWaiting.end()) {
      continue;
    }
    auto& from = *mSessions.at(owner->second);
    if (aBlocked.IsBlocked(from)) {
      continue;
    }
    // A started request may return its connection at once, and so reenter this
    // function.
    mWaiting.erase(queueEntry.request);
    aQueue.Remove(queueEntry);
    if (FailIfUnreachable(from, aNow)) {
      continue;
    }
    if (TryStart(from, aNow)) {
      aQueue.Departed(aNow);
      continue;
    }
    from.current->unservable = false;
    mWaiting[queueEntry.request] = from.number;
    aQueue.Requeue(queueEntry);
    aBlocked.Add(from);
  }
}

} // namespace currantshed::proxy
