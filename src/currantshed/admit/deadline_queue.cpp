#include "currantshed/admit/deadline_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantshed::admit {

namespace {

// Stated when nothing was measured yet.
constexpr std::chrono::milliseconds kUnmeasuredRetry{ 50 };
constexpr std::chrono::milliseconds kLongestRetry{ 5000 };
// Weight of the newest time that a server took, in the mean.
constexpr double kNewest = 0.05;

} // namespace

deadline_queue::deadline_queue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

admission
deadline_queue::Offer(const waiting& aRequest, clock::time_point aNow)
{
  admission made;
  const auto giveWay = [&](const waiting& aWaiting) {
    made.displaced.push_back(aWaiting.request);
    mEntries.erase(aWaiting);
  };
  const auto withdraw = [&](std::vector<waiting> aRemoved) {
    mEntries.insert(aRemoved.begin(), aRemoved.end());
    return admission{};
  };
  std::vector<waiting> removed;
  if (mEntries.size() >= mLimit) {
    const auto victim = LeastStrict(aRequest, mEntries.end());
    if (!victim) {
      return admission{};
    }
    removed.push_back(*victim);
    giveWay(*victim);
  }
  auto place = static_cast<std::size_t>(
    std::distance(mEntries.begin(), mEntries.lower_bound(aRequest)));
  while (!IsInTime(aRequest, place, aNow)) {
    const auto victim = LeastStrict(aRequest, mEntries.lower_bound(aRequest));
    if (!victim) {
      return withdraw(std::move(removed));
    }
    removed.push_back(*victim);
    giveWay(*victim);
    --place;
  }
  const auto delayed = Delayed(aRequest, place, aNow);
  if (!delayed) {
    return withdraw(std::move(removed));
  }
  for (const auto& victim : *delayed) {
    giveWay(victim);
  }
  mEntries.insert(aRequest);
  made.admitted = true;
  return made;
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

void
deadline_queue::Served(clock::duration aTime)
{
  const std::chrono::duration<double> time = aTime;
  mService =
    mService.count() == 0 ? time : mService + kNewest * (time - mService);
}

std::chrono::milliseconds
deadline_queue::RetryAfter(std::uint64_t aRequest, clock::time_point aNow)
{
  const auto gap = mDrain.TimeFor(1);
  if (!gap) {
    return Spread(kUnmeasuredRetry, aRequest);
  }
  const auto drained = aNow + *mDrain.TimeFor(mEntries.size());
  mLastReturn = std::min(std::max(mLastReturn, drained) + *gap,
                         std::max(aNow + kLongestRetry, drained));
  return Spread(mLastReturn - aNow, aRequest);
}

const deadline_queue::entries&
deadline_queue::Entries() const noexcept
{
  return mEntries;
}

bool
deadline_queue::IsInTime(const waiting& aRequest,
                         std::size_t aPlace,
                         clock::time_point aNow) const
{
  const auto wait = mDrain.TimeFor(aPlace);
  if (aPlace == 0 || !wait) {
    return true;
  }
  const auto service = std::chrono::duration_cast<clock::duration>(mService);
  return aNow + *wait + service <= aRequest.deadline;
}

std::optional<waiting>
deadline_queue::LeastStrict(const waiting& aRequest,
                            entries::const_iterator aEnd) const
{
  std::optional<waiting> least;
  for (auto entry = mEntries.begin(); entry != aEnd; ++entry) {
    if (entry->objective < aRequest.objective &&
        (!least || entry->objective <= least->objective)) {
      least = *entry;
    }
  }
  return least;
}

std::optional<std::vector<waiting>>
deadline_queue::Delayed(const waiting& aRequest,
                        std::size_t aPlace,
                        clock::time_point aNow) const
{
  std::vector<waiting> delayed;
  auto place = aPlace + 1;
  for (auto entry = mEntries.lower_bound(aRequest); entry != mEntries.end();
       ++entry) {
    if (IsInTime(*entry, place, aNow)) {
      ++place;
      continue;
    }
    if (entry->objective >= aRequest.objective &&
        IsInTime(*entry, place - 1, aNow)) {
      return std::nullopt;
    }
    if (entry->objective < aRequest.objective) {
      delayed.push_back(*entry);
    } else {
      ++place;
    }
  }
  return delayed;
}

} // namespace currantshed::admit
