#include "currantshed/lead/outage_history.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace currantshed::lead {

namespace {

// A single outage may have a passing cause, such as a restart of a switch. A
// second one within this span is likely to be followed by a third, while a
// replacement stops writes for one or two seconds once.
constexpr std::chrono::seconds kSpan{ 10 };
constexpr std::size_t kOutagesUntilUnstable = 2;
// Longer than the timeout of one query, which may be lost with its connection,
// and than the interval between two statements of a busy VM.
constexpr std::chrono::milliseconds kMinOutage{ 300 };
// Updates of other VMs that heard from the primary during the outage arrive
// within this time.
constexpr std::chrono::milliseconds kSettlingTime{ 250 };

} // namespace

void
outage_history::SetPrimary(const upstream::server_id& aPrimary)
{
  if (aPrimary != mPrimary) {
    mPrimary = aPrimary;
    mDownSince.reset();
    mOutages.clear();
  }
}

void
outage_history::RecordDown(const upstream::server_id& aPrimary,
                           clock::time_point aHeardAt)
{
  SetPrimary(aPrimary);
  if (!mDownSince) {
    mDownSince = aHeardAt;
  }
}

void
outage_history::RecordUp(const upstream::server_id& aPrimary,
                         clock::time_point aNow)
{
  SetPrimary(aPrimary);
  if (mDownSince) {
    End({ *mDownSince, aNow });
  }
}

void
outage_history::RecordHeard(clock::time_point aAt)
{
  if (mDownSince && aAt > *mDownSince) {
    const outage ended{ *mDownSince, aAt };
    if (IsShort(ended)) {
      mDownSince = aAt;
    } else {
      End(ended);
    }
  }
  for (auto& one : mOutages) {
    one.to = aAt > one.from ? std::min(one.to, aAt) : one.to;
  }
  std::erase_if(mOutages, IsShort);
}

void
outage_history::End(const outage& aOutage)
{
  mDownSince.reset();
  if (IsShort(aOutage)) {
    return;
  }
  mOutages.push_back(aOutage);
  if (mOutages.size() > kOutagesUntilUnstable) {
    mOutages.pop_front();
  }
}

bool
outage_history::IsShort(const outage& aOutage)
{
  return aOutage.to - aOutage.from < kMinOutage;
}

bool
outage_history::IsUnstable(const upstream::server_id& aPrimary,
                           clock::time_point aNow) const
{
  return aPrimary == mPrimary && !mDownSince &&
         mOutages.size() == kOutagesUntilUnstable &&
         aNow - mOutages.front().to < kSpan &&
         aNow - mOutages.back().to >= kSettlingTime;
}

} // namespace currantshed::lead
