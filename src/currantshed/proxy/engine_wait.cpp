// Dispatch queues: how requests wait for a connection, are rejected, or get
// one.
#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Maximum length of a dispatch queue. It bounds memory until a service rate has
// been measured; after that the rate limits the queue earlier.
constexpr std::size_t kMostWaiting = 512;
// Burst of the retry budget, on top of a tenth of the requests. A VM in a large
// fleet sends a group a few statements per second: this suffices for one server
// that begins to reject work.
constexpr double kRetryStore = 3.0;
constexpr std::string_view kPrimaryLane = "primary";
constexpr std::string_view kReadsLane = "reads";

} // namespace

void
engine::Wait(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  request.at = stage::kWaiting;
  request.refusedBy.clear();
  const auto made = Admit(aSession, aNow);
  if (!made.admitted) {
    TurnAway(aSession, "queue_full", aNow);
    return;
  }
  mWaiting[request.number] = aSession.number;
  Schedule(aSession, std::max(request.waitUntil, aNow));
  // Displaced requests are rejected at once, so that their callers can retry.
  for (const auto number : made.displaced) {
    const auto owner = mWaiting.find(number);
    if (owner != mWaiting.end()) {
      auto& displaced = *mSessions.at(owner->second);
      mWaiting.erase(owner);
      TurnAway(displaced, "displaced", aNow);
    }
  }
}

// Queues the request, by route priority and then by time, if it is expected to
// be answered in time. Half of the target is reserved for a caller that is
// rejected and retries; the time limit of a relayed request is already part of
// the other VM's limit. During an outage, while the primary is being replaced
// or unknown, a rejected caller would use up its retries too early: the request
// waits as long as its statement may take, behind all requests that can still
// meet their target.
admit::admission
engine::Admit(session& aSession, clock::time_point aNow)
{
  auto& request = *aSession.current;
  auto& lane = LaneOf(aSession);
  if (request.place) {
    lane.Put(*request.place);
    return { true, {} };
  }
  auto answeredBy = request.waitUntil;
  if (IsOutage(aSession, aNow)) {
    request.waitUntil = request.deadline;
    answeredBy = request.deadline;
  } else if (!aSession.IsRelay()) {
    answeredBy -= (request.waitUntil - request.arrivedAt) / 2;
  }
  request.place = admit::waiting{ answeredBy,
                                  request.number,
                                  1.0 / (1.0 + request.under->priority) };
  auto made = lane.Offer(*request.place, aNow);
  if (!made.admitted) {
    request.place.reset();
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
  const auto& lead = LeadOf(request.under->service);
  if (request.needsPrimary) {
    return !Leads(lead, lead.proof.primary, aNow) ||
           !TakesWork(lead.proof.primary, request, aNow);
  }
  const auto& servers = ServersOf(request.under->service);
  return std::none_of(servers.begin(), servers.end(), [&](auto* aState) {
    return CanServe(Planned(*aState), request, lead, aNow);
  });
}

// Rejects the request. The error guarantees that it has not run only where this
// is known.
void
engine::TurnAway(session& aSession,
                 std::string_view aWhy,
                 clock::time_point aNow)
{
  const auto after =
    LaneOf(aSession).RetryAfter(aSession.current->number, aNow);
  Fail(aSession,
       RefusalOf(*aSession.current),
       absl::StrCat(std::string(aWhy), "; retry after ", after.count(), " ms"),
       aNow);
}

failure_code
engine::RefusalOf(const request& aRequest) noexcept
{
  return aRequest.mayHaveRun ? failure_code::kFailed : failure_code::kBusy;
}

// What a request that was not served in time lacked, as one word.
std::string_view
engine::WhatLacks(const session& aSession, clock::time_point aNow)
{
  if (aSession.IsRelay()) {
    return "server_busy";
  }
  const auto& request = *aSession.current;
  const auto& lead = LeadOf(request.under->service);
  if (request.needsPrimary && !TakesWork(lead.proof.primary, request, aNow)) {
    return "primary_leaves";
  }
  if (request.needsPrimary || !request.floor.position) {
    return Leads(lead, lead.proof.primary, aNow) ? "primary_busy"
                                                 : "primary_not_proved";
  }
  return IsOutage(aSession, aNow) ? "replicas_behind" : "servers_busy";
}

// Requests for the same servers share a dispatch queue, and its service rate.
admit::deadline_queue&
engine::LaneOf(const session& aSession)
{
  const auto& request = *aSession.current;
  const auto name = aSession.IsRelay()     ? aSession.relaysTo
                    : request.needsPrimary ? std::string(kPrimaryLane)
                                           : std::string(kReadsLane);
  auto& lanes = mQueues[request.under->service];
  return lanes.try_emplace(name, kMostWaiting).first->second;
}

admit::retry_budget&
engine::RetriesOf(const request& aRequest)
{
  return mRetries.try_emplace(aRequest.under->service, kRetryStore)
    .first->second;
}

void
engine::Unqueue(session& aSession)
{
  const auto& request = *aSession.current;
  if (request.place) {
    LaneOf(aSession).Remove(*request.place);
  }
  mWaiting.erase(request.number);
}

// Assigns connections to queued requests: first, in order, to those that can
// still meet their deadline, then to the others.
void
engine::Pump(const std::string& aService, clock::time_point aNow)
{
  const auto found = mQueues.find(aService);
  if (found == mQueues.end()) {
    return;
  }
  // Idle connections are first given to requests that can use them as they are;
  // only then is one closed to open another.
  if (mConfiguration->customers != nullptr) {
    mOnlyIdle = true;
    PumpLanes(found->second, aNow);
    mOnlyIdle = false;
  }
  PumpLanes(found->second, aNow);
}

void
engine::PumpLanes(lanes& aLanes, clock::time_point aNow)
{
  blocked_lanes blocked;
  for (const bool inTime : { true, false }) {
    for (auto& [name, lane] : aLanes) {
      PumpLane(lane, inTime, blocked, aNow);
    }
  }
}

void
engine::PumpLane(admit::deadline_queue& aLane,
                 bool aInTime,
                 blocked_lanes& aBlocked,
                 clock::time_point aNow)
{
  const std::vector<admit::waiting> waiting(aLane.Entries().begin(),
                                            aLane.Entries().end());
  for (const auto& place : waiting) {
    if (aLane.CanEndInTime(place, aNow) != aInTime) {
      continue;
    }
    const auto owner = mWaiting.find(place.request);
    if (owner == mWaiting.end()) {
      continue;
    }
    auto& from = *mSessions.at(owner->second);
    if (aBlocked.Holds(from)) {
      continue;
    }
    // A started request may return its connection at once, and so reenter this
    // function.
    mWaiting.erase(place.request);
    aLane.Remove(place);
    if (TryStart(from, aNow)) {
      aLane.Departed(aNow);
      continue;
    }
    mWaiting[place.request] = from.number;
    aLane.Put(place);
    aBlocked.Add(from);
  }
}

} // namespace currantshed::proxy
