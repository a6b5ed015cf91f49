#include "currantshed/lead/server_table.hpp"

#include <algorithm>
#include <functional>

#include <absl/container/flat_hash_set.h>

namespace currantshed::lead {

void
server_table::Configure(const std::vector<member>& aMembers,
                        clock::time_point aNow)
{
  absl::flat_hash_set<upstream::server_id> listed;
  for (const auto& one : aMembers) {
    listed.insert(one.id);
    const auto [place, added] = mViews.try_emplace(one.id);
    auto& view = place->second;
    const bool isAnew = !added && view.listed.startedAt != one.startedAt;
    if (isAnew) {
      view = {};
      view.restartSeenAt = aNow;
    }
    view.listed = one;
    if (added || isAnew) {
      view.heardAt = aNow;
    }
  }
  absl::erase_if(mViews, [&listed](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
}

void
server_table::Reported(const upstream::server_id& aServer,
                       const proxy::server_report& aReport,
                       clock::time_point aAskedAt,
                       clock::time_point aNow)
{
  auto* view = Find(aServer);
  if (view == nullptr || aAskedAt < view->restartSeenAt) {
    return;
  }
  view->pendingSince.reset();
  Contacted(aServer, aNow);
  if (aAskedAt >= view->askedAt) {
    view->report = aReport;
    view->askedAt = aAskedAt;
  }
}

void
server_table::Contacted(const upstream::server_id& aServer,
                        clock::time_point aAt)
{
  auto* view = Find(aServer);
  if (view != nullptr && aAt > view->heardAt) {
    view->heardAt = aAt;
    view->failures = 0;
  }
}

void
server_table::Failed(const upstream::server_id& aServer)
{
  auto* view = Find(aServer);
  if (view != nullptr) {
    view->pendingSince.reset();
    ++view->failures;
  }
}

member_view*
server_table::Find(const upstream::server_id& aServer)
{
  const auto found = mViews.find(aServer);
  return found == mViews.end() ? nullptr : &found->second;
}

const member_view*
server_table::Find(const upstream::server_id& aServer) const
{
  const auto found = mViews.find(aServer);
  return found == mViews.end() ? nullptr : &found->second;
}

std::size_t
server_table::Majority() const noexcept
{
  return mViews.size() / 2 + 1;
}

std::size_t
server_table::UnresponsiveCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mViews.begin(), mViews.end(), [](const auto& aEntry) {
      return aEntry.second.failures > 0;
    }));
}

position::term_id
server_table::HighestTerm() const
{
  position::term_id highest = 0;
  for (const auto& [id, view] : mViews) {
    if (view.report) {
      highest = std::max({ highest, view.report->term, view.report->fencedAt });
    }
  }
  return highest;
}

position::term_id
server_table::HighestLogTerm() const
{
  position::term_id highest = 0;
  for (const auto& [id, view] : mViews) {
    highest = std::max(highest, view.report ? view.report->term : 0);
  }
  return highest;
}

std::optional<proxy::confirmation>
server_table::Confirmation() const
{
  const member_view* primary = nullptr;
  for (const auto& [id, view] : mViews) {
    const bool leads = view.report && view.report->isPrimary;
    if (leads &&
        (primary == nullptr || view.report->term > primary->report->term)) {
      primary = &view;
    }
  }
  if (primary == nullptr || primary->report->fencedAt > primary->report->term) {
    return std::nullopt;
  }
  const auto term = primary->report->term;
  std::vector<clock::time_point> asked;
  for (const auto& [id, view] : mViews) {
    const bool follows = &view != primary && view.report &&
                         !view.report->isPrimary && view.report->term <= term &&
                         view.report->fencedAt <= term;
    if (follows) {
      asked.push_back(view.askedAt);
    }
  }
  const auto needed = Majority() - 1;
  if (asked.size() < needed) {
    return std::nullopt;
  }
  std::sort(asked.begin(), asked.end(), std::greater<>());
  auto oldest = primary->askedAt;
  if (needed > 0) {
    oldest = std::min(oldest, asked[needed - 1]);
  }
  return proxy::confirmation{ term, primary->listed.id, oldest };
}

} // namespace currantshed::lead
