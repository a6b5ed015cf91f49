#include "currantshed/proxy/lanes.hpp"

#include <algorithm>

namespace currantshed::proxy {

namespace {

// Reads differ in the position that they must see: one that no replica has
// reached says little of the next. Each try looks at a group's servers once.
constexpr unsigned kReadsTried = 4;

bool
NeedsPrimary(const request& aRequest)
{
  return aRequest.needsPrimary || !aRequest.floor.position;
}

} // namespace

bool
blocked_lanes::Holds(const session& aWaiting) const
{
  if (aWaiting.IsRelay()) {
    return std::find(mRelays.begin(), mRelays.end(), aWaiting.relaysTo) !=
           mRelays.end();
  }
  return NeedsPrimary(*aWaiting.current) ? mPrimary : mReads >= kReadsTried;
}

void
blocked_lanes::Add(const session& aWaiting)
{
  if (aWaiting.IsRelay()) {
    mRelays.push_back(aWaiting.relaysTo);
  } else if (NeedsPrimary(*aWaiting.current)) {
    mPrimary = true;
  } else {
    ++mReads;
  }
}

} // namespace currantshed::proxy
