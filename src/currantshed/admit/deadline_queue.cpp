#include "currantshed/admit/deadline_queue.hpp"

#include <algorithm>
#include <numeric>
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

// Whether the first may displace the second: it is of a stricter class, or of a
// customer of the same class that has used less. One round's difference has to
// do: the requests at the head of a queue that one customer fills are all close
// to their deadlines, and would otherwise hold up everyone else.
bool
MayDisplace(const queued_request& aLeft, const queued_request& aRight)
{
  return IsStricter(aLeft, aRight) ||
         (aLeft.objective == aRight.objective && aRight.round > aLeft.round);
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
  if (isFull && !MayDisplace(aRequest, *mEntries.rbegin())) {
    return {};
  }
  const auto ahead = std::accumulate(
    mEntries.cbegin(), next, 0.0, [&](double aSum, const auto& aEntry) {
      return aSum + WorkOf(aEntry);
    });
  if (!WouldMeetDeadline(aRequest, ahead, aNow)) {
    return {};
  }
  auto delayed = FindDelayed(aRequest, ahead, aNow);
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
deadline_queue::Departed(clock::time_point aNow,
                         std::optional<double> aObjective)
{
  mDrain.Departed(mEntries.size(), aNow);
  const auto found =
    aObjective ? mServiceTimes.find(*aObjective) : mServiceTimes.end();
  if (found != mServiceTimes.end()) {
    const auto mean = found->second.mean;
    mMeanDispatched =
      mMeanDispatched == seconds::zero()
        ? mean
        : mMeanDispatched + kNewestWeight * (mean - mMeanDispatched);
  }
}

void
deadline_queue::Served(clock::duration aTime, std::optional<double> aObjective)
{
  auto& measured = aObjective ? mServiceTimes[*aObjective] : mServiceTime;
  const seconds time = aTime;
  if (measured.mean == seconds::zero()) {
    measured.mean = time;
    return;
  }
  const auto error = time - measured.mean;
  measured.mean += kNewestWeight * error;
  measured.deviation +=
    kNewestWeight * (std::chrono::abs(error) - measured.deviation);
}

bool
deadline_queue::CanMeetDeadline(const queued_request& aRequest,
                                clock::time_point aNow) const
{
  return aNow + ExpectedServiceTime(aRequest.objective) <= aRequest.deadline;
}

std::chrono::milliseconds
deadline_queue::RetryAfter(std::uint64_t aRequest,
                           clock::time_point aNow,
                           double aObjective)
{
  const auto gap = mDrain.TimeToDrain(1);
  if (!gap) {
    return AddJitter(kDefaultRetryAfter, aRequest);
  }
  const auto waiting = static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
      return aEntry.objective >= aObjective;
    }));
  const auto drained = aNow + *mDrain.TimeToDrain(waiting);
  auto earliest = drained;
  for (auto told = mLastRetryAt.lower_bound(aObjective);
       told != mLastRetryAt.end();
       ++told) {
    earliest = std::max(earliest, told->second);
  }
  const auto retryAt =
    std::min(earliest + *gap, std::max(aNow + kMaxRetryAfter, drained));
  mLastRetryAt[aObjective] = retryAt;
  return AddJitter(retryAt - aNow, aRequest);
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
deadline_queue::ExpectedServiceTime(double aObjective) const
{
  const auto found = mServiceTimes.find(aObjective);
  const auto& measured =
    found != mServiceTimes.end() ? found->second : mServiceTime;
  return std::chrono::duration_cast<clock::duration>(measured.mean +
                                                     measured.deviation);
}

// With the mean pace alone, a class with little work was refused because of the
// long gaps that another class's work had left, which then kept the server.
double
deadline_queue::WorkOf(const queued_request& aRequest) const
{
  const auto found = mServiceTimes.find(aRequest.objective);
  return found == mServiceTimes.end() || mMeanDispatched == seconds::zero()
           ? 1.0
           : found->second.mean / mMeanDispatched;
}

bool
deadline_queue::WouldMeetDeadline(const queued_request& aRequest,
                                  double aAhead,
                                  clock::time_point aNow) const
{
  const auto gap = mDrain.TimeToDrain(1);
  if (aAhead <= 0 || !gap) {
    return true;
  }
  const auto wait =
    std::chrono::duration_cast<clock::duration>(seconds(*gap) * aAhead);
  return aNow + wait + wait / kWaitMarginDivisor +
           ExpectedServiceTime(aRequest.objective) <=
         aRequest.deadline;
}

std::optional<std::vector<queued_request>>
deadline_queue::FindDelayed(const queued_request& aRequest,
                            double aAhead,
                            clock::time_point aNow) const
{
  std::vector<queued_request> delayed;
  const auto added = WorkOf(aRequest);
  auto ahead = aAhead + added;
  for (auto entry = mEntries.lower_bound(aRequest); entry != mEntries.end();
       ++entry) {
    const auto isLate = !WouldMeetDeadline(*entry, ahead, aNow);
    if (isLate && MayDisplace(aRequest, *entry)) {
      delayed.push_back(*entry);
      continue;
    }
    // A request that would miss its deadline anyway does not prevent the
    // admission.
    if (isLate && WouldMeetDeadline(*entry, ahead - added, aNow)) {
      return std::nullopt;
    }
    ahead += WorkOf(*entry);
  }
  return delayed;
}

} // namespace currantshed::admit
