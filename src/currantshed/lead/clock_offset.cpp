#include "currantshed/lead/clock_offset.hpp"

namespace currantshed::lead {

namespace {

using std::chrono::microseconds;

// The clocks of two VMs may drift apart by this part of the time that passes:
// 200 parts in a million, twice what quartz clocks are specified to.
constexpr int kDriftDivisor = 5000;

} // namespace

void
clock_offset::AddSample(microseconds aSentAt, clock::time_point aNow)
{
  const auto bound = aSentAt - ToWire(aNow);
  const auto kept = LowerBound(aNow);
  if (!kept || bound > *kept) {
    mBound = bound;
    mHeardAt = aNow;
  }
}

std::optional<microseconds>
clock_offset::LowerBound(clock::time_point aNow) const
{
  if (!mBound) {
    return std::nullopt;
  }
  const auto passed = std::chrono::duration_cast<microseconds>(aNow - mHeardAt);
  return *mBound - passed / kDriftDivisor;
}

microseconds
ToWire(clock::time_point aTime)
{
  return std::chrono::duration_cast<microseconds>(aTime.time_since_epoch());
}

clock::time_point
FromWire(microseconds aTime)
{
  return clock::time_point{ aTime };
}

} // namespace currantshed::lead
