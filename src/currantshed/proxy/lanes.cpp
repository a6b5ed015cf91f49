#include "currantshed/proxy/lanes.hpp"

#include <algorithm>
#include <cstddef>

namespace currantshed::proxy {

namespace {

// Reads differ in their minimum position: that no replica has reached one says
// little about the next. Each attempt examines the group's servers once.
constexpr unsigned kReadsTried = 4;
// Blocked customers per queue after which its other requests wait for the next
// pass: each attempt costs as much as a request.
constexpr std::size_t kCustomersTried = 16;
constexpr std::string_view kPrimaryLane = "primary";
constexpr std::string_view kReadsLane = "reads";

bool
NeedsPrimary(const request& aRequest)
{
  return aRequest.needsPrimary || !aRequest.floor.position;
}

unsigned
MostTried(const session& aWaiting)
{
  const bool isRead = !aWaiting.IsRelay() && !NeedsPrimary(*aWaiting.current);
  return isRead ? kReadsTried : 1;
}

} // namespace

std::string_view
blocked_lanes::LaneOf(const session& aWaiting)
{
  if (aWaiting.IsRelay()) {
    return aWaiting.relaysTo;
  }
  return NeedsPrimary(*aWaiting.current) ? kPrimaryLane : kReadsLane;
}

const blocked_lanes::blocked_lane*
blocked_lanes::Find(const session& aWaiting) const
{
  const auto found =
    std::find_if(mBlocked.begin(), mBlocked.end(), [&](const auto& aOne) {
      return aOne.lane == LaneOf(aWaiting) &&
             aOne.customer == aWaiting.current->customer;
    });
  return found == mBlocked.end() ? nullptr : &*found;
}

bool
blocked_lanes::Holds(const session& aWaiting) const
{
  if (const auto* found = Find(aWaiting)) {
    return found->found >= MostTried(aWaiting);
  }
  const auto customers =
    std::count_if(mBlocked.begin(), mBlocked.end(), [&](const auto& aOne) {
      return aOne.lane == LaneOf(aWaiting);
    });
  return static_cast<std::size_t>(customers) >= kCustomersTried;
}

void
blocked_lanes::Add(const session& aWaiting)
{
  if (const auto* found = Find(aWaiting)) {
    ++mBlocked[static_cast<std::size_t>(found - mBlocked.data())].found;
    return;
  }
  mBlocked.push_back(
    { std::string(LaneOf(aWaiting)), aWaiting.current->customer, 1 });
}

} // namespace currantshed::proxy
