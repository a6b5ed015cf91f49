// Dispatch queues: how requests wait for a connection, are rejected, or get
// one.
#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

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

// Whether the first request must leave an idle connection of its customer to
// the second one's, which has none. Without this a customer that always has a
// request waiting keeps its connections for ever.
bool
IsFarBehind(const admit::queued_request& aOne,
            const admit::queued_request& aWaiting)
{
  return aOne.objective < aWaiting.objective ||
         (aOne.objective == aWaiting.objective &&
          aOne.round > aWaiting.round + 1);
}

struct waiting_entry
{
  admit::queued_request entry;
  admit::deadline_queue* queue = nullptr;
  bool isInTime = false;
  // Rounds after the first one of its class in its queue. Rounds of two queues
  // can't be compared.
  std::uint64_t lead = 0;

  /// Those that can still meet their deadline first: a late answer helps less
  /// than one in time, whatever the classes.
  [[nodiscard]] friend bool operator<(const waiting_entry& aLeft,
                                      const waiting_entry& aRight) noexcept
  {
    if (aLeft.isInTime != aRight.isInTime) {
      return aLeft.isInTime;
    }
    if (aLeft.entry.objective != aRight.entry.objective) {
      return aLeft.entry.objective > aRight.entry.objective;
    }
    if (aLeft.lead != aRight.lead) {
      return aLeft.lead < aRight.lead;
    }
    return aLeft.entry.deadline != aRight.entry.deadline
             ? aLeft.entry.deadline < aRight.entry.deadline
             : aLeft.entry.request < aRight.entry.request;
  }
};

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

// Queues the request, by route priority, its customer's share and then by time,
// if it is expected to be answered in time. Half of the target is reserved for
// a caller that is rejected and retries; without attributes, the time limit of
// a relayed request is already part of the other VM's limit. During an outage,
// while the primary is being replaced or unknown, a rejected caller would use
// up its retries too early: the request waits as long as its statement may
// take, behind all requests that can still meet their target.
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
  } else if (request.attributes) {
    answeredBy += queue.ExpectedServiceTime(ObjectiveOf(request));
    const auto& untilTarget = request.attributes->untilTarget;
    if (untilTarget > milliseconds{ 0 }) {
      answeredBy =
        std::min(answeredBy, request.arrivedAt + TimeAtHolder(untilTarget));
    }
  }
  ChargeCustomer(aSession);
  request.queueEntry = admit::queued_request{ answeredBy,
                                              request.number,
                                              ObjectiveOf(request),
                                              request.fairTicket != nullptr
                                                ? request.fairTicket->Round()
                                                : 0 };
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
  const auto& request = *aSession.current;
  const auto after =
    QueueOf(aSession).RetryAfter(request.number, aNow, ObjectiveOf(request));
  Fail(aSession,
       RefusalCode(request),
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

// Charges the request to its customer's share of its class, if it has a
// customer and was not charged before.
void
engine::ChargeCustomer(session& aSession)
{
  auto& request = *aSession.current;
  if (request.customer.empty() || request.fairTicket != nullptr) {
    return;
  }
  auto& share = mShares[{ &QueueOf(aSession), request.priority }];
  if (share == nullptr) {
    share = std::make_shared<admit::fair_share>();
  }
  request.fairTicket =
    std::make_shared<admit::fair_ticket>(share, request.customer);
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

// The queues are served in one order, since requests of this VM's callers and
// those relayed to it wait for the same servers: queue after queue, a lenient
// class of one would go before a strict one of the next.
void
engine::DispatchQueues(dispatch_queues& aQueues, clock::time_point aNow)
{
  // Whether a request can still be answered in time: a relayed one by the
  // target that its sender told. Its deadline here is a part of that, and only
  // decides whether it is admitted: strict requests whose service time exceeded
  // this part were sent after all lenient ones, which made it longer still.
  const auto isInTime = [&](const admit::deadline_queue& aQueue,
                            admit::queued_request aEntry) {
    const auto owner = mWaiting.find(aEntry.request);
    const auto* from =
      owner != mWaiting.end() ? mSessions.at(owner->second).get() : nullptr;
    if (from != nullptr && from->IsRelay() && from->current->attributes &&
        from->current->attributes->untilTarget > milliseconds{ 0 }) {
      aEntry.deadline =
        from->current->arrivedAt + from->current->attributes->untilTarget;
    }
    return aQueue.CanMeetDeadline(aEntry, aNow);
  };
  std::vector<waiting_entry> waiting;
  for (auto& [name, queue] : aQueues) {
    auto first = queue.Entries().begin();
    for (const auto& entry : queue.Entries()) {
      if (entry.objective != first->objective) {
        first = queue.Entries().find(entry);
      }
      waiting.push_back(
        { entry, &queue, isInTime(queue, entry), entry.round - first->round });
    }
  }
  std::sort(waiting.begin(), waiting.end());
  blocked_queues blocked;
  // The first of each queue that got nothing.
  std::map<const admit::deadline_queue*, admit::queued_request> first;
  for (const auto& one : waiting) {
    const auto found = first.find(one.queue);
    if (mOnlyIdle && found != first.end() &&
        IsFarBehind(one.entry, found->second)) {
      continue;
    }
    if (!DispatchEntry(*one.queue, one.entry, blocked, aNow)) {
      first.try_emplace(one.queue, one.entry);
    }
  }
}

// Returns false if the request still waits.
bool
engine::DispatchEntry(admit::deadline_queue& aQueue,
                      const admit::queued_request& aEntry,
                      blocked_queues& aBlocked,
                      clock::time_point aNow)
{
  const auto owner = mWaiting.find(aEntry.request);
  if (owner == mWaiting.end()) {
    return true;
  }
  auto& from = *mSessions.at(owner->second);
  if (aBlocked.IsBlocked(from)) {
    return false;
  }
  // A started request may return its connection at once, and so reenter this
  // function.
  mWaiting.erase(aEntry.request);
  aQueue.Remove(aEntry);
  if (FailIfUnreachable(from, aNow)) {
    return true;
  }
  if (TryStart(from, aNow)) {
    aQueue.Departed(aNow, aEntry.objective);
    return true;
  }
  from.current->unservable = false;
  mWaiting[aEntry.request] = from.number;
  aQueue.Requeue(aEntry);
  aBlocked.Add(from);
  return false;
}

} // namespace currantshed::proxy
