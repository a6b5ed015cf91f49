#include "currantshed/admit/deadline_queue.hpp"

#include <iterator>

namespace currantshed::admit {

namespace {

// Stated when nothing was measured yet.
constexpr std::chrono::milliseconds kUnmeasuredRetry{ 50 };

} // namespace

deadline_queue::deadline_queue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

admission
deadline_queue::Offer(const waiting& aRequest, clock::time_point aNow)
{
  if (mEntries.size() >= mLimit) {
    return { false, {} };
  }
  const auto ahead = static_cast<std::size_t>(
    std::distance(mEntries.begin(), mEntries.lower_bound(aRequest)));
  const auto wait = mDrain.TimeFor(ahead);
  if (ahead > 0 && wait && aNow + *wait > aRequest.deadline) {
    return { false, {} };
  }
  mEntries.insert(aRequest);
  return { true, {} };
}

void
deadline_queue::Put(const waiting& aRequest)
{
  mEntries.insert(aRequest);
}

void
deadline_queue::Remove(const waiting& aRequest)
{
  mEntries.erase(aRequest);
}

void
deadline_queue::Departed(clock::time_point aNow)
{
  mDrain.Departed(mEntries.size(), aNow);
}

std::chrono::milliseconds
deadline_queue::RetryAfter(std::uint64_t aRequest) const
{
  const auto wait = mDrain.TimeFor(mEntries.size() + 1);
  return Spread(wait.value_or(kUnmeasuredRetry), aRequest);
}

const deadline_queue::entries&
deadline_queue::Entries() const noexcept
{
  return mEntries;
}

} // namespace currantshed::admit
