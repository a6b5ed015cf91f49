#include "currantshed/confirm/position_samples.hpp"

#include <algorithm>

namespace currantshed::confirm {

namespace {

constexpr std::size_t kMaxSamples = 1024;

} // namespace

void
position_samples::Add(const position::log_position& aPosition,
                      clock::time_point aDate)
{
  if (mSamples.empty()) {
    mSamples.push_back({ aPosition, aDate, aDate });
    return;
  }
  auto& newest = mSamples.back();
  if (aDate <= newest.date || aPosition < newest.position) {
    return;
  }
  if (aPosition == newest.position) {
    newest.date = aDate;
    return;
  }
  mSamples.push_back({ aPosition, aDate, aDate });
  if (mSamples.size() > kMaxSamples) {
    ThinOut();
  }
}

std::optional<position::log_position>
position_samples::Newest() const
{
  if (mSamples.empty()) {
    return std::nullopt;
  }
  return mSamples.back().position;
}

std::optional<clock::time_point>
position_samples::CurrentAsOf(const position::log_position& aPosition) const
{
  const auto after = std::upper_bound(
    mSamples.begin(),
    mSamples.end(),
    aPosition,
    [](const position::log_position& aLeft, const sample& aRight) {
      return aLeft < aRight.position;
    });
  if (after == mSamples.begin()) {
    return std::nullopt;
  }
  return std::prev(after)->date;
}

std::optional<position::log_position>
position_samples::LowestSince(clock::time_point aDate) const
{
  const auto first =
    std::lower_bound(mSamples.begin(),
                     mSamples.end(),
                     aDate,
                     [](const sample& aLeft, clock::time_point aRight) {
                       return aLeft.date < aRight;
                     });
  if (first == mSamples.end()) {
    return std::nullopt;
  }
  return first->position;
}

std::optional<clock::time_point>
position_samples::WrittenBy(const position::log_position& aPosition) const
{
  const auto first = std::lower_bound(
    mSamples.begin(),
    mSamples.end(),
    aPosition,
    [](const sample& aLeft, const position::log_position& aRight) {
      return aLeft.position < aRight;
    });
  if (first == mSamples.end()) {
    return std::nullopt;
  }
  return first->from;
}

void
position_samples::ThinOut()
{
  // Every second sample of the older half goes.
  const auto half = mSamples.size() / 2;
  std::vector<sample> kept;
  kept.reserve(mSamples.size());
  for (std::size_t i = 0; i < mSamples.size(); ++i) {
    if (i >= half || i % 2 == 0) {
      kept.push_back(mSamples[i]);
    }
  }
  mSamples = std::move(kept);
}

} // namespace currantshed::confirm
