#include "currantshed/balance/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace currantshed::balance {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A VM in a large fleet sends a server one statement in two seconds or so: with
// a shorter half-life it would never have the minimum number of observations.
constexpr milliseconds kCountHalfLife{ 4000 };
// Fewer observations eject nothing: one rejection is ordinary under a burst.
constexpr double kMinObservations = 3.0;
constexpr double kMinFailures = 2.0;
// A caller tries three times: at 0.3 one in forty finds no answer in any.
constexpr double kMaxFailureShare = 0.3;
// Older observations beyond this number fade: a holder that sees 20 statements
// a second notices within one to two seconds that a server begins to fail.
constexpr double kMaxObservations = 20.0;
// A refused connection is stronger evidence than a rejected statement: nothing
// of the next statement can succeed either.
constexpr double kUnreachableWeight = 2.0;
// Observations below which nothing is reported to other VMs, which can't tell
// how many there were.
constexpr double kMinReported = 8.0;
// A report says how it was; after this time the server may have recovered.
constexpr milliseconds kReportLifetime{ 2000 };
// About the time limit of a statement: a wrong ejection costs no more than one
// request of each caller a second choice of server.
constexpr milliseconds kFirstEjection{ 1000 };
// A server that has recovered is to be used again within seconds.
constexpr milliseconds kMaxEjection{ 16000 };
// After an ejection: the time until the server has its whole share, and the
// share at first.
constexpr milliseconds kReturnTime{ 3000 };
constexpr double kFirstShare = 0.1;
// Time without an ejection after which one repetition is forgotten: several
// periods of a server that flaps each one to two seconds.
constexpr milliseconds kHealthySpan{ 10000 };
// Repetitions that are remembered: enough for the longest ejection.
constexpr unsigned kMaxRepetitions = 5;
// Part of a group that may be ejected: of three servers one.
constexpr std::size_t kGroupPart = 3;

double
WeightOf(observation aWhat)
{
  switch (aWhat) {
    case observation::kUnreachable:
      return kUnreachableWeight;
    case observation::kPathLost:
      return 0;
    default:
      return 1;
  }
}

} // namespace

std::string_view
NameOf(observation aWhat)
{
  switch (aWhat) {
    case observation::kSucceeded:
      return "succeeded";
    case observation::kRejected:
      return "rejected";
    case observation::kFailed:
      return "failed";
    case observation::kReset:
      return "reset";
    case observation::kUnreachable:
      return "unreachable";
    case observation::kPathLost:
      return "path_lost";
  }
  return "unknown";
}

void
outlier_detector::Observe(observation aWhat, clock::time_point aNow)
{
  const auto weight = WeightOf(aWhat);
  const auto failures = aWhat == observation::kSucceeded ? 0 : weight;
  mAll.Add(failures, weight, aNow);
  // What was sent before the ejection says nothing about the return.
  if (IsEjected(aNow)) {
    return;
  }
  mSinceEjection.Add(failures, weight, aNow);
  if (failures > 0) {
    mLastFailure = aWhat;
  }
}

void
outlier_detector::ObserveReport(unsigned aFailurePermille,
                                clock::time_point aNow)
{
  mReportedPermille = aFailurePermille;
  mReportedAt = aNow;
}

std::optional<ejection>
outlier_detector::TryEject(const group_health& aGroup, clock::time_point aNow)
{
  if (IsEjected(aNow) || !LooksBad(aNow)) {
    return std::nullopt;
  }
  const auto most = aGroup.servers < 2
                      ? 0
                      : std::max<std::size_t>(aGroup.servers / kGroupPart, 1);
  if (aGroup.ejected >= most || aGroup.bad >= aGroup.servers) {
    return std::nullopt;
  }
  const auto seen = mSinceEjection.At(aNow);
  mRepetitions = std::min(RepetitionsAt(aNow) + 1, kMaxRepetitions);
  milliseconds duration = kFirstEjection;
  for (unsigned i = 1; i < mRepetitions && duration < kMaxEjection; ++i) {
    duration *= 2;
  }
  mEjectedUntil = aNow + duration;
  mAwaitsReturn = true;
  mSinceEjection = {};
  const auto own =
    seen.all > 0 ? static_cast<unsigned>(1000 * seen.failures / seen.all) : 0;
  const bool isReported = HasBadReport(aNow);
  return ejection{ isReported ? "reported" : NameOf(mLastFailure),
                   own,
                   isReported ? mReportedPermille : 0,
                   duration,
                   mRepetitions };
}

bool
outlier_detector::TakeReturned(clock::time_point aNow)
{
  if (!mAwaitsReturn || IsEjected(aNow)) {
    return false;
  }
  mAwaitsReturn = false;
  return true;
}

bool
outlier_detector::IsEjected(clock::time_point aNow) const noexcept
{
  return aNow < mEjectedUntil;
}

// While it returns, its first failures count, and reports don't: they still
// describe the time before.
bool
outlier_detector::LooksBad(clock::time_point aNow) const
{
  if (IsEjected(aNow)) {
    return true;
  }
  const auto seen = mSinceEjection.At(aNow);
  if (IsReturning(aNow)) {
    return seen.failures > 0 && seen.failures >= kMaxFailureShare * seen.all;
  }
  const bool isBadItself = seen.all >= kMinObservations &&
                           seen.failures >= kMinFailures &&
                           seen.failures >= kMaxFailureShare * seen.all;
  return isBadItself || HasBadReport(aNow);
}

double
outlier_detector::Share(clock::time_point aNow) const
{
  if (IsEjected(aNow)) {
    return 0;
  }
  if (!IsReturning(aNow)) {
    return 1;
  }
  const std::chrono::duration<double> since = aNow - mEjectedUntil;
  return kFirstShare + (1 - kFirstShare) * (since / kReturnTime);
}

unsigned
outlier_detector::FailurePermille(clock::time_point aNow) const
{
  const auto seen = mAll.At(aNow);
  return seen.all < kMinReported
           ? 0
           : static_cast<unsigned>(1000 * seen.failures / seen.all);
}

outlier_detector::counts
outlier_detector::recent_counts::At(clock::time_point aNow) const
{
  const std::chrono::duration<double> since = aNow - mAt;
  const auto fading = std::exp2(-since / kCountHalfLife);
  return { mCounts.failures * fading, mCounts.all * fading };
}

void
outlier_detector::recent_counts::Add(double aFailures,
                                     double aAll,
                                     clock::time_point aNow)
{
  mCounts = At(aNow);
  mAt = aNow;
  const auto excess = (mCounts.all + aAll) / kMaxObservations;
  if (excess > 1) {
    mCounts.failures /= excess;
    mCounts.all /= excess;
  }
  mCounts.failures += aFailures;
  mCounts.all += aAll;
}

bool
outlier_detector::IsReturning(clock::time_point aNow) const noexcept
{
  return mRepetitions > 0 && aNow >= mEjectedUntil &&
         aNow < mEjectedUntil + kReturnTime;
}

bool
outlier_detector::HasBadReport(clock::time_point aNow) const
{
  return !IsReturning(aNow) && aNow < mReportedAt + kReportLifetime &&
         mReportedAt >= mEjectedUntil &&
         mReportedPermille >= 1000 * kMaxFailureShare;
}

unsigned
outlier_detector::RepetitionsAt(clock::time_point aNow) const
{
  if (mRepetitions == 0) {
    return 0;
  }
  const auto spans =
    duration_cast<milliseconds>(aNow - mEjectedUntil) / kHealthySpan;
  return mRepetitions - static_cast<unsigned>(std::min<std::int64_t>(
                          mRepetitions, std::max<std::int64_t>(spans, 0)));
}

} // namespace currantshed::balance
