#include "standin/platform/call_counter.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

#include <boost/json.hpp>

namespace currantshed::standin {

namespace {

namespace json = boost::json;

constexpr std::array<const char*, kCountedKinds> kKindNames = { "reads",
                                                                "watches",
                                                                "lists",
                                                                "writes",
                                                                "sessions" };

template<typename Counts>
std::uint64_t
Sum(const Counts& aCounts)
{
  return std::accumulate(aCounts.begin(), aCounts.end(), std::uint64_t{ 0 });
}

template<typename Counts>
std::uint64_t
Writes(const Counts& aCounts)
{
  return aCounts[static_cast<std::size_t>(call_kind::kWrite)] +
         aCounts[static_cast<std::size_t>(call_kind::kSession)];
}

template<typename Counts>
json::object
CountsJson(const Counts& aCounts, std::uint64_t aAll)
{
  json::object counts;
  counts["all"] = aAll;
  for (std::size_t kind = 0; kind < kCountedKinds; ++kind) {
    counts[kKindNames[kind]] = aCounts[kind];
  }
  return counts;
}

bool
IsWrite(call_kind aKind)
{
  return aKind == call_kind::kWrite || aKind == call_kind::kSession;
}

} // namespace

call_counter::call_counter(rate_limits aLimits)
  : mLimits(aLimits)
{
}

bool
call_counter::Admit(call_kind aKind, clock::time_point aNow)
{
  AdvanceTo(aNow);
  const auto kind = static_cast<std::size_t>(aKind);
  ++mTotal[kind];
  ++mThisSecond[kind];
  mPeak[kind] = std::max(mPeak[kind], mThisSecond[kind]);
  const auto all = Sum(mThisSecond);
  const auto writes = Writes(mThisSecond);
  mPeakAll = std::max(mPeakAll, all);
  const auto limit =
    IsWrite(aKind) ? mLimits.writesPerSecond : mLimits.readsPerSecond;
  const auto used = IsWrite(aKind) ? writes : all - writes;
  const bool admitted = limit == 0 || used <= limit;
  mRefused += admitted ? 0 : 1;
  return admitted;
}

void
call_counter::Reset()
{
  *this = call_counter(mLimits);
}

std::string
call_counter::ToJson(std::size_t aWaitingWatches, clock::time_point aNow)
{
  AdvanceTo(aNow);
  json::object counts;
  counts["total"] = CountsJson(mTotal, Sum(mTotal));
  counts["last_second"] = CountsJson(mLastSecond, Sum(mLastSecond));
  counts["peak_per_second"] = CountsJson(mPeak, mPeakAll);
  counts["refused"] = mRefused;
  counts["waiting_watches"] = aWaitingWatches;
  return json::serialize(counts);
}

void
call_counter::AdvanceTo(clock::time_point aNow)
{
  constexpr std::chrono::seconds kWindow{ 1 };
  if (!mStarted) {
    mStarted = true;
    mSecondStart = aNow;
  }
  const auto passed = (aNow - mSecondStart) / kWindow;
  if (passed == 0) {
    return;
  }
  mLastSecond = passed == 1 ? mThisSecond : kind_counts{};
  mThisSecond = kind_counts{};
  mSecondStart += passed * kWindow;
}

} // namespace currantshed::standin
