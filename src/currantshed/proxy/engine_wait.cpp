// How requests wait for a connection, are turned away, and get one.
#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/proxy/engine.hpp"

namespace currantshed::proxy {

namespace {

// Requests that may wait in one lane: the measured rate bounds them before
// this does; it keeps memory bounded until a rate is known.
constexpr std::size_t kMostWaiting = 512;
// A VM in a large fleet sends a group a few statements a second: so many tries
// go through beyond the tenth, enough for one server that begins to turn work
// away.
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
  // Whoever gave up a place is told at once, and may ask anew meanwhile.
  for (const auto number : made.displaced) {
    const auto owner = mWaiting.find(number);
    if (owner != mWaiting.end()) {
      auto& displaced = *mSessions.at(owner->second);
      mWaiting.erase(owner);
      TurnAway(displaced, "displaced", aNow);
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

// Whether no server can serve the request for now, however little there is to
// do: a change of the primary passes within two seconds.
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

// The request is not sent any more. That nothing of it has run is said only
// where it is known.
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

// What a request that has waited in vain was waiting for, as one word.
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

// Requests that need the same servers queue together: their rate is measured
// as one.
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

// Gives connections to the requests that wait: first to those that can still
// end in time, in their order, then to those that can't.
void
engine::Pump(const std::string& aService, clock::time_point aNow)
{
  const auto found = mQueues.find(aService);
  if (found == mQueues.end()) {
    return;
  }
  // A connection that stands goes to whoever can use it as it is; only then
  // does one give way to a new one.
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
    // A start may give its connection back at once, and look at all that wait.
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
