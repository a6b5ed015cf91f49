// How requests wait for a connection, are turned away, and get one.
#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Requests that may wait in one lane: the measured rate bounds them before
// this does; it keeps memory bounded until a rate is known.
constexpr std::size_t kMaxQueued = 512;
// A VM in a large fleet sends a group a few statements a second: so many tries
// go through beyond the tenth, enough for one server that begins to turn work
// away.
constexpr double kRetryBudgetBurst = 3.0;
constexpr std::string_view kPrimaryQueue = "primary";
constexpr std::string_view kReadsQueue = "reads";

} // namespace

void
engine::Enqueue(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.at = stage::kQueued;
  request.refusedBy.clear();
  const auto made = Admit(aSession, aNow);
  if (!made.admitted) {
    Reject(aSession, "queue_full", aNow);
    return;
  }
  mWaiting[request.number] = aSession.number;
  Schedule(aSession, std::max(request.waitUntil, aNow));
  // Whoever gave up a place is told at once, and may ask anew meanwhile.
  for (const auto number : made.displaced) {
    const auto owner = mWaiting.find(number);
    if (owner != mWaiting.end()) {
      auto& displaced = *mSessions.at(owner->second);
      mWaiting.erase(owner);
      Reject(displaced, "displaced", aNow);
    }
  }
}

// A place in the queue, by the route's priority and then by time, if the
// request is expected to be answered by then. Half of the target leaves time
// for a caller that was refused and comes back; a relay's bound is a part of
// another VM's already. While nothing can be served, since the primary is being
// replaced or looked for, a caller that was refused would come back too soon as
// often as it may: it waits as long as its statement may take, behind all that
// can still be in time then.
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
  } else if (!aSession.IsRelay()) {
    answeredBy -= (request.waitUntil - request.arrivedAt) / 2;
  }
  request.queueEntry = admit::waiting{
    answeredBy, request.number, 1.0 / (1.0 + request.assignedRoute->priority)
  };
  auto made = queue.TryAdmit(*request.queueEntry, aNow);
  if (!made.admitted) {
    request.queueEntry.reset();
  }
  return made;
}

// Whether no server can serve the request for now, however little there is to
// do: a change of the primary passes within two seconds.
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

// The request is not sent any more. That nothing of it has run is said only
// where it is known.
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

// What a request that has waited in vain was waiting for, as one word.
std::string_view
engine::MissingResource(const session& aSession, clock::time_point aNow)
{
  if (aSession.IsRelay()) {
    return "server_busy";
  }
  const auto& request = *aSession.current;
  const auto& leadership = LeadershipOf(request.assignedRoute->service);
  if (request.needsPrimary &&
      !AcceptsWork(leadership.confirmed.primary, request, aNow)) {
    return "primary_leaves";
  }
  if (request.needsPrimary || !request.floor.position) {
    return IsConfirmedPrimary(leadership, leadership.confirmed.primary, aNow)
             ? "primary_busy"
             : "primary_not_proved";
  }
  return IsOutage(aSession, aNow) ? "replicas_behind" : "servers_busy";
}

// Requests that need the same servers queue together: their rate is measured
// as one.
admit::deadline_queue&
engine::QueueOf(const session& aSession)
{
  const auto& request = *aSession.current;
  const auto name = aSession.IsRelay()     ? aSession.relayTarget
                    : request.needsPrimary ? std::string(kPrimaryQueue)
                                           : std::string(kReadsQueue);
  auto& dispatch_queues = mQueues[request.assignedRoute->service];
  return dispatch_queues.try_emplace(name, kMaxQueued).first->second;
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

// Gives connections to the requests that wait: first to those that can still
// end in time, in their order, then to those that can't.
void
engine::DispatchQueued(const std::string& aService, clock::time_point aNow)
{
  const auto found = mQueues.find(aService);
  if (found == mQueues.end()) {
    return;
  }
  // A connection that stands goes to whoever can use it as it is; only then
  // does one give way to a new one.
  if (mConfiguration->customers != nullptr) {
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
  const std::vector<admit::waiting> waiting(aQueue.Entries().begin(),
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
    // A start may give its connection back at once, and look at all that wait.
    mWaiting.erase(queueEntry.request);
    aQueue.Remove(queueEntry);
    if (TryStart(from, aNow)) {
      aQueue.Departed(aNow);
      continue;
    }
    mWaiting[queueEntry.request] = from.number;
    aQueue.Requeue(queueEntry);
    aBlocked.Add(from);
  }
}

} // namespace currantshed::proxy
