#include "currantshed/admit/deadline_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace currantshed::admit {

namespace {

// Stated when nothing was measured yet.
constexpr std::chrono::milliseconds kDefaultRetryAfter{ 50 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 5000 };
// A part of the wait that is added to it, for what the mean rate leaves out.
constexpr int kWaitMargin = 4;
// Weight of the newest time that a server took, in the mean.
constexpr double kNewestWeight = 0.05;

using seconds = std::chrono::duration<double>;

bool
IsStricter(const waiting& aLeft, const waiting& aRight)
{
  return aLeft.objective > aRight.objective;
}

} // namespace

deadline_queue::deadline_queue(std::size_t aLimit)
  : mLimit(aLimit)
{
}

admission
deadline_queue::TryAdmit(const waiting& aRequest, clock::time_point aNow)
{
  const entries::const_iterator behind = mEntries.lower_bound(aRequest);
  const auto isFull = mEntries.size() >= mLimit;
  if (isFull && !IsStricter(aRequest, *mEntries.rbegin())) {
    return {};
  }
  const auto place =
    static_cast<std::size_t>(std::distance(mEntries.cbegin(), behind));
  if (!IsInTime(aRequest, place, aNow)) {
    return {};
  }
  auto delayed = FindDelayed(aRequest, place, aNow);
  if (!delayed) {
    return {};
  }
  if (isFull && delayed->empty()) {
    delayed->push_back(*mEntries.rbegin());
  }
  admission made;
  made.admitted = true;
  for (const auto& victim : *delayed) {
    made.displaced.push_back(victim.request);
    mEntries.erase(victim);
  }
  mEntries.insert(aRequest);
  return made;
}

void
deadline_queue::Requeue(const waiting& aRequest)
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
  const seconds time = aTime;
  if (mService == seconds::zero()) {
    mService = time;
    return;
  }
  const auto error = time - mService;
  mService += kNewestWeight * error;
  mDeviation += kNewestWeight * (std::chrono::abs(error) - mDeviation);
}

bool
deadline_queue::CanMeetDeadline(const waiting& aRequest,
                                clock::time_point aNow) const
{
  return aNow + Service() <= aRequest.deadline;
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

const deadline_queue::entries&
deadline_queue::Entries() const noexcept
{
  return mEntries;
}

clock::duration
deadline_queue::Service() const
{
  return std::chrono::duration_cast<clock::duration>(mService + mDeviation);
}

bool
deadline_queue::IsInTime(const waiting& aRequest,
                         std::size_t aPlace,
                         clock::time_point aNow) const
{
  const auto wait = mDrain.TimeToDrain(aPlace);
  if (aPlace == 0 || !wait) {
    return true;
  }
  return aNow + *wait + *wait / kWaitMargin + Service() <= aRequest.deadline;
}

std::optional<std::vector<waiting>>
deadline_queue::FindDelayed(const waiting& aRequest,
                            std::size_t aPlace,
                            clock::time_point aNow) const
{
  std::vector<waiting> delayed;
  auto place = aPlace + 1;
  for (auto entry = mEntries.lower_bound(aRequest); entry != mEntries.end();
       ++entry) {
    const auto isLate = !IsInTime(*entry, place, aNow);
    if (isLate && IsStricter(aRequest, *entry)) {
      delayed.push_back(*entry);
      continue;
    }
    // One that was late already is nobody's fault.
    if (isLate && IsInTime(*entry, place - 1, aNow)) {
      return std::nullopt;
    }
    ++place;
  }
  return delayed;
}

} // namespace currantshed::admit
