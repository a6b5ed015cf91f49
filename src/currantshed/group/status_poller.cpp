#include "currantshed/group/status_poller.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Minimum time between two status requests to a server while a request waits.
// It grows by a step with each request in the engine, between the two bounds.
constexpr std::chrono::microseconds kMinGap{ 100 };
constexpr std::chrono::microseconds kMaxGap{ 1000 };
constexpr std::chrono::microseconds kGapPerRequest{ 25 };

std::chrono::microseconds
GapFor(std::size_t aRequests)
{
  constexpr std::size_t kMaxSteps = kMaxGap / kGapPerRequest;
  const auto steps = static_cast<int>(std::min(aRequests, kMaxSteps));
  return std::max(kMinGap, kGapPerRequest * steps);
}

} // namespace

status_poller::status_poller(const engine_settings& aSettings)
  : mInterval(aSettings.statusInterval)
  , mTimeout(aSettings.statusTimeout)
{
}

void
status_poller::SetMembers(const std::vector<upstream::server_id>& aServers)
{
  std::vector<request_state> requests;
  for (const auto& server : aServers) {
    const auto* known = Find(server);
    requests.push_back(known == nullptr ? request_state{ server } : *known);
  }
  mRequests = std::move(requests);
}

void
status_poller::Answered(const upstream::server_id& aServer)
{
  if (auto* entry = Find(aServer)) {
    entry->inFlight = false;
    entry->failed = false;
  }
}

void
status_poller::Failed(const upstream::server_id& aServer)
{
  if (auto* entry = Find(aServer)) {
    entry->inFlight = false;
    entry->failed = true;
  }
}

void
status_poller::RequireStatusSince(clock::time_point aAskedSince)
{
  mRequiredSince = std::max(mRequiredSince, aAskedSince);
}

std::vector<upstream::server_id>
status_poller::TakeDue(const poll_demand& aDemand, clock::time_point aNow)
{
  std::vector<upstream::server_id> due;
  for (auto& entry : mRequests) {
    if (DueAt(entry, aDemand) <= aNow) {
      entry.wasSent = true;
      entry.inFlight = true;
      entry.sentAt = aNow;
      due.push_back(entry.server);
    }
  }
  return due;
}

clock::time_point
status_poller::NextDue(const poll_demand& aDemand) const
{
  auto next = clock::time_point::max();
  for (const auto& entry : mRequests) {
    next = std::min(next, DueAt(entry, aDemand));
  }
  return next;
}

clock::time_point
status_poller::DueAt(const request_state& aRequest,
                     const poll_demand& aDemand) const
{
  if (!aRequest.wasSent) {
    return clock::time_point::min();
  }
  if (aRequest.inFlight) {
    // Without an answer for this long, the status request counts as failed.
    return aRequest.sentAt + mTimeout;
  }
  const auto isWanted = aDemand.hasWaiters || aRequest.sentAt < mRequiredSince;
  if (isWanted && !aRequest.failed) {
    return aRequest.sentAt + GapFor(aDemand.requests);
  }
  return aRequest.sentAt + mInterval;
}

status_poller::request_state*
status_poller::Find(const upstream::server_id& aServer)
{
  const auto found = std::find_if(mRequests.begin(),
                                  mRequests.end(),
                                  [&aServer](const request_state& aCandidate) {
                                    return aCandidate.server == aServer;
                                  });
  return found == mRequests.end() ? nullptr : &*found;
}

} // namespace currantshed::group
