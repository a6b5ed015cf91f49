#include "currantshed/proxy/blocked_queues.hpp"

#include <algorithm>
#include <cstddef>

namespace currantshed::proxy {

namespace {

// Reads differ in their minimum position: that no replica has reached one says
// little about the next. Each attempt examines the group's servers once.
constexpr unsigned kMaxReadAttempts = 4;
// Blocked customers per queue after which its other requests wait for the next
// pass: each attempt costs as much as a request.
constexpr std::size_t kMaxBlockedCustomers = 16;
constexpr std::string_view kPrimaryQueue = "primary";
constexpr std::string_view kReadsQueue = "reads";
// Reads that only the primary can serve now. They may wait because they leave
// it to writes: that says nothing about the writes.
constexpr std::string_view kPrimaryReadsQueue = "primary_reads";

bool
NeedsPrimary(const request& aRequest)
{
  return aRequest.needsPrimary || !aRequest.floor.position;
}

bool
IsReplicable(const session& aWaiting)
{
  const auto& attributes = aWaiting.current->attributes;
  return aWaiting.IsRelay() && attributes && !attributes->needsPrimary;
}

unsigned
MaxAttempts(const session& aWaiting)
{
  const bool isRead = !aWaiting.IsRelay() && !NeedsPrimary(*aWaiting.current);
  return isRead ? kMaxReadAttempts : 1;
}

} // namespace

std::string_view
blocked_queues::QueueOf(const session& aWaiting)
{
  if (aWaiting.IsRelay()) {
    return aWaiting.relayTarget;
  }
  const auto& request = *aWaiting.current;
  if (request.needsPrimary) {
    return kPrimaryQueue;
  }
  return request.floor.position ? kReadsQueue : kPrimaryReadsQueue;
}

const blocked_queues::blocked_queue*
blocked_queues::Find(const session& aWaiting) const
{
  const auto found =
    std::find_if(mBlocked.begin(), mBlocked.end(), [&](const auto& aOne) {
      return aOne.queue == QueueOf(aWaiting) &&
             aOne.customer == aWaiting.current->customer &&
             aOne.isReplicable == IsReplicable(aWaiting);
    });
  return found == mBlocked.end() ? nullptr : &*found;
}

bool
blocked_queues::IsBlocked(const session& aWaiting) const
{
  // A read that only the primary can serve finds no connection where a write
  // found none.
  if (QueueOf(aWaiting) == kPrimaryReadsQueue &&
      std::any_of(mBlocked.begin(), mBlocked.end(), [&](const auto& aOne) {
        return aOne.queue == kPrimaryQueue &&
               aOne.customer == aWaiting.current->customer;
      })) {
    return true;
  }
  if (const auto* found = Find(aWaiting)) {
    return found->found >= MaxAttempts(aWaiting);
  }
  const auto customers =
    std::count_if(mBlocked.begin(), mBlocked.end(), [&](const auto& aOne) {
      return aOne.queue == QueueOf(aWaiting);
    });
  return static_cast<std::size_t>(customers) >= kMaxBlockedCustomers;
}

void
blocked_queues::Add(const session& aWaiting)
{
  if (const auto* found = Find(aWaiting)) {
    ++mBlocked[static_cast<std::size_t>(found - mBlocked.data())].found;
    return;
  }
  mBlocked.push_back({ std::string(QueueOf(aWaiting)),
                       aWaiting.current->customer,
                       IsReplicable(aWaiting),
                       1 });
}

} // namespace currantshed::proxy
