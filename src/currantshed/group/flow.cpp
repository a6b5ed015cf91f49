#include "currantshed/group/flow.hpp"

#include <utility>

namespace currantshed::group {

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
flow::GiveUp(outcome::reason, clock::time_point)
{
  return std::nullopt;
}

bool
flow::IsOvertaken(clock::time_point) const
{
  return false;
}

std::optional<step>
flow::Heard(clock::time_point)
{
  return std::nullopt;
}

bool
flow::WantsWord() const
{
  return false;
}

const request&
flow::Request() const noexcept
{
  return mRequest;
}

bool
flow::HasWaitedLong(clock::time_point aNow) const
{
  return aNow >= mSubmitted + mContext.settings.validity;
}

clock::time_point
flow::Submitted() const noexcept
{
  return mSubmitted;
}

context&
flow::Shared() const noexcept
{
  return mContext;
}

} // namespace currantshed::group
