#include "currantshed/admit/deadline_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantshed::admit {

namespace {

// Used until a drain rate was measured.
constexpr std::chrono::milliseconds kDefaultRetryAfter{ 50 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 5000 };
// The estimated wait is increased by one part in this many, as a margin for
// variation around the mean rate.
constexpr int kWaitMarginDivisor = 4;
// Weight of the newest service time in the mean.
constexpr double kNewestWeight = 0.05;

using seconds = std::chrono::duration<double>;

bool
IsStricter(const queued_request& aLeft, const queued_request& aRight)
{
  return aLeft.objective > aRight.objective;
}

} // namespace

deadline_queue::deadline_queue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

admission
deadline_queue::TryAdmit(const queued_request& aRequest, clock::time_point aNow)
{
  const entries::const_iterator next = mEntries.lower_bound(aRequest);
  const auto isFull = mEntries.size() >= mLimit;
  if (isFull && !IsStricter(aRequest, *mEntries.rbegin())) {
    return {};
  }
  const auto index =
    static_cast<std::size_t>(std::distance(mEntries.cbegin(), next));
  if (!WouldMeetDeadline(aRequest, index, aNow)) {
    return {};
  }
  auto delayed = FindDelayed(aRequest, index, aNow);
  if (!delayed) {
    return {};
  }
  if (isFull && delayed->empty()) {
    delayed->push_back(*mEntries.rbegin());
  }
  admission result;
  result.admitted = true;
  for (const auto& other : *delayed) {
    result.displaced.push_back(other.request);
    mEntries.erase(other);
  }
  mEntries.insert(aRequest);
  return result;
}

void
deadline_queue::Requeue(const queued_request& aRequest)
{
  mEntries.insert(aRequest);
}

void
deadline_queue::Remove(const queued_request& aRequest)
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
  const seconds time = aTime;
  if (mMeanServiceTime == seconds::zero()) {
    mMeanServiceTime = time;
    return;
  }
  const auto error = time - mMeanServiceTime;
  mMeanServiceTime += kNewestWeight * error;
  mServiceTimeDeviation +=
    kNewestWeight * (std::chrono::abs(error) - mServiceTimeDeviation);
}

bool
deadline_queue::CanMeetDeadline(const queued_request& aRequest,
                                clock::time_point aNow) const
{
  return aNow + ExpectedServiceTime() <= aRequest.deadline;
}

std::chrono::milliseconds
deadline_queue::RetryAfter(std::uint64_t aRequest, clock::time_point aNow)
{
  const auto gap = mDrain.TimeToDrain(1);
  if (!gap) {
    return AddJitter(kDefaultRetryAfter, aRequest);
  }
  const auto drained = aNow + *mDrain.TimeToDrain(mEntries.size());
  mLastRetryAt = std::min(std::max(mLastRetryAt, drained) + *gap,
                          std::max(aNow + kMaxRetryAfter, drained));
  return AddJitter(mLastRetryAt - aNow, aRequest);
}

clock::duration
deadline_queue::ExpectedWait() const
{
  return mDrain.TimeToDrain(mEntries.size()).value_or(clock::duration::zero());
}

const deadline_queue::entries&
deadline_queue::Entries() const noexcept
{
  return mEntries;
}

clock::duration
deadline_queue::ExpectedServiceTime() const
{
  return std::chrono::duration_cast<clock::duration>(mMeanServiceTime +
                                                     mServiceTimeDeviation);
}

bool
deadline_queue::WouldMeetDeadline(const queued_request& aRequest,
                                  std::size_t aIndex,
                                  clock::time_point aNow) const
{
  const auto wait = mDrain.TimeToDrain(aIndex);
  if (aIndex == 0 || !wait) {
    return true;
  }
  return aNow + *wait + *wait / kWaitMarginDivisor + ExpectedServiceTime() <=
         aRequest.deadline;
}

std::optional<std::vector<queued_request>>
deadline_queue::FindDelayed(const queued_request& aRequest,
                            std::size_t aIndex,
                            clock::time_point aNow) const
{
  std::vector<queued_request> delayed;
  auto index = aIndex + 1;
  for (auto entry = mEntries.lower_bound(aRequest); entry != mEntries.end();
       ++entry) {
    const auto isLate = !WouldMeetDeadline(*entry, index, aNow);
    if (isLate && IsStricter(aRequest, *entry)) {
      delayed.push_back(*entry);
      continue;
    }
    // A request that would miss its deadline anyway does not prevent the
    // admission.
    if (isLate && WouldMeetDeadline(*entry, index - 1, aNow)) {
      return std::nullopt;
    }
    ++index;
  }
  return delayed;
}

} // namespace currantshed::admit
