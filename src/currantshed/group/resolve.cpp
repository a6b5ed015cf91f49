#include "currantshed/group/resolve.hpp"

#include <utility>

namespace currantshed::group {

using outcome::reason;

resolve_flow::resolve_flow(context& aContext,
                           request aRequest,
                           clock::time_point aNow)
  : change_flow(aContext, std::move(aRequest), aNow)
{
  SetPhase(phase::kVoid);
}

std::vector<upstream::statement>
resolve_flow::ComposeChange() const
{
  return {};
}

std::size_t
resolve_flow::RecordIndex() const
{
  return 0;
}

bool
resolve_flow::MayBeResent() const
{
  return false;
}

std::optional<std::string>
resolve_flow::Digest() const
{
  return std::nullopt;
}

bool
reconfirm_flow::ReadOnly() const
{
  return true;
}

route::choice
reconfirm_flow::ChooseServer(const std::vector<route::candidate>&,
                             clock::time_point) const
{
  return { route::availability::kNone, 0, reason::kNoEligibleServer };
}

std::vector<upstream::statement>
reconfirm_flow::Compose(const dispatch&)
{
  return {};
}

reply_outcome
reconfirm_flow::Replied(upstream::reply, clock::time_point)
{
  return { await_status{}, connection_fate::kClose };
}

std::optional<step>
reconfirm_flow::OnStatusUpdate(clock::time_point aNow)
{
  const auto& tracker = Context().tracker;
  const auto& position = Request().position;
  if (tracker.IsHeldByMajority(position, Submitted(), aNow)) {
    answer result;
    result.request = Request().id;
    result.verdict = outcome::verdict::kDone;
    result.position = position;
    return finish{ std::move(result) };
  }
  const auto term = tracker.Term();
  if (term && term->term > position.term) {
    return finish{ Unknown(Request(), reason::kNoPrimary) };
  }
  return std::nullopt;
}

answer
reconfirm_flow::Expired(stage) const
{
  return Unknown(Request(), reason::kDeadline);
}

} // namespace currantshed::group
