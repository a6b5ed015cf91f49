#include "currantshed/group/flow.hpp"

#include <algorithm>
#include <utility>

namespace currantshed::group {

namespace {

// Part of its time that a request waits for a server at most.
constexpr int kWaitPart = 2;
// A group that has had no primary for longer will not have one soon.
constexpr std::chrono::milliseconds kLongestFailover{ 2000 };

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
  clock::duration patience = (mRequest.deadline - mSubmitted) / kWaitPart;
  if (mContext.primarySeenAt + kLongestFailover < aNow) {
    patience = std::min<clock::duration>(patience, mContext.settings.validity);
  }
  return aNow >= mSubmitted + patience;
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
