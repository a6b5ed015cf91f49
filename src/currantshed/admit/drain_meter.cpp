#include "currantshed/admit/drain_meter.hpp"

#include <algorithm>

#include <xxhash.h>

namespace currantshed::admit {

namespace {

using seconds = std::chrono::duration<double>;

// A gap counts as no longer than so many times the mean, and a little more.
constexpr double kMaxGrowth = 4.0;
constexpr seconds kGrowthAllowance{ 0.001 };
// Weight of the newest gap in the mean.
constexpr double kNewestWeight = 0.05;
constexpr std::chrono::milliseconds kMinTime{ 1 };
constexpr std::uint64_t kJitterSteps = 1024;

} // namespace

void
drain_meter::Departed(std::size_t aWaiting, clock::time_point aNow)
{
  if (mBusy) {
    const seconds measured = aNow - mLast;
    const auto gap =
      mGap ? std::min(measured, *mGap * kMaxGrowth + kGrowthAllowance)
           : measured;
    mGap = mGap ? *mGap + kNewestWeight * (gap - *mGap) : gap;
  }
  mBusy = aWaiting > 0;
  mLast = aNow;
}

std::optional<clock::duration>
drain_meter::TimeToDrain(std::size_t aRequests) const
{
  if (!mGap) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<clock::duration>(
    *mGap * static_cast<double>(aRequests));
}

std::chrono::milliseconds
AddJitter(clock::duration aTime, std::uint64_t aRequest)
{
  const auto hash = XXH3_64bits(&aRequest, sizeof(aRequest));
  const auto part = static_cast<std::int64_t>(hash % kJitterSteps);
  const auto time = std::chrono::ceil<std::chrono::milliseconds>(aTime);
  const auto base = std::max(time, kMinTime);
  // Halves are rounded up, so that short times are spread too.
  const auto jitter =
    (base.count() + 1) * part / static_cast<std::int64_t>(2 * kJitterSteps);
  return base + std::chrono::milliseconds{ jitter };
}

} // namespace currantshed::admit
