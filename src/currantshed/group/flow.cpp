#include "currantshed/group/flow.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Divisor of its total time that limits how long a request waits for a server.
constexpr int kWaitDivisor = 2;
// A group without a primary for longer than this is unlikely to get one soon.
constexpr std::chrono::milliseconds kMaxFailoverTime{ 2000 };

} // namespace

flow::flow(context& aContext, request aRequest, clock::time_point aNow)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mSubmitted(aNow)
{
}

std::optional<connection_id>
flow::Pinned() const
{
  return std::nullopt;
}

std::optional<answer>
flow::OnNoServer(outcome::reason, clock::time_point)
{
  return std::nullopt;
}

bool
flow::ShouldAbort(clock::time_point) const
{
  return false;
}

std::optional<step>
flow::OnStatusUpdate(clock::time_point)
{
  return std::nullopt;
}

bool
flow::NeedsStatus() const
{
  return false;
}

const request&
flow::Request() const noexcept
{
  return mRequest;
}

bool
flow::HasWaitedTooLong(clock::time_point aNow) const
{
  clock::duration maxWait = (mRequest.deadline - mSubmitted) / kWaitDivisor;
  if (mContext.primarySeenAt + kMaxFailoverTime < aNow) {
    maxWait = std::min<clock::duration>(maxWait, mContext.settings.validity);
  }
  return aNow >= mSubmitted + maxWait;
}

clock::time_point
flow::Submitted() const noexcept
{
  return mSubmitted;
}

context&
flow::Context() const noexcept
{
  return mContext;
}

} // namespace currantshed::group
