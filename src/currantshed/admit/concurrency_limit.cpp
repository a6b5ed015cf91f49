#include "currantshed/admit/concurrency_limit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace currantshed::admit {

namespace {

using std::chrono::milliseconds;

// How often the limit is adjusted, at least this many answers apart: the
// fastest of some statements shows what all of them waited, whatever their own
// work.
constexpr milliseconds kInterval{ 100 };
constexpr unsigned kMinAnswers = 10;
// Answers further apart say nothing about each other.
constexpr milliseconds kMaxGap{ 1000 };
// Baselines rise only after this time at the floor, where this process adds
// least to a queue: under a lasting overload, a minimum of a moving window
// rises with the queue that it should show. A server that has become slower is
// taken as it is after two windows.
constexpr milliseconds kBaselineWindow{ 1000 };
// The fastest of fewer answers of a kind is no baseline yet.
constexpr unsigned kMinBaseline = 8;
// Bounds of the standing queue in the server, as a part of its slots: a slot
// must not stay idle during a round trip.
constexpr double kMinQueuedPart = 0.4;
constexpr double kMaxQueuedPart = 0.5;
constexpr double kDecrease = 0.8;
// A rejecting server is worse off than a slow one.
constexpr double kDecreaseWhenRejected = 0.5;
constexpr double kFullUse = 1.0 + kMaxQueuedPart;
// With one statement at a time a long one would hold up all others.
constexpr unsigned kMinFloor = 2;
// Part of the limit that is reserved for what only this server can run, for
// this time after the last such request.
constexpr unsigned kReserveDivisor = 4;
constexpr milliseconds kReserveLifetime{ 2000 };

} // namespace

clock::duration
concurrency_limit::baseline::Observe(clock::duration aTime) noexcept
{
  ++answers;
  current = std::min(current, aTime);
  return std::min(current, previous);
}

void
concurrency_limit::baseline::BeginWindow() noexcept
{
  // A kind without recent answers keeps its baseline.
  if (current != clock::duration::max()) {
    previous = current;
    current = clock::duration::max();
  }
}

concurrency_limit::concurrency_limit(const concurrency_bounds& aBounds)
  : mBounds(aBounds)
  , mLimit(Start())
{
}

void
concurrency_limit::SetBounds(const concurrency_bounds& aBounds)
{
  mBounds = aBounds;
  SetLimit(mLimit);
}

void
concurrency_limit::Reset()
{
  mBaselines = {};
  mLimit = Start();
  BeginInterval({});
}

unsigned
concurrency_limit::Limit() const noexcept
{
  return static_cast<unsigned>(mLimit);
}

unsigned
concurrency_limit::Floor() const noexcept
{
  const auto part = (mBounds.slots + mBounds.senders - 1) / mBounds.senders;
  return std::min(std::max(part, kMinFloor), mBounds.connections);
}

// With the same limit at all senders, the slots and the standing queue are
// full.
double
concurrency_limit::Start() const noexcept
{
  const double part = std::ceil(kFullUse * mBounds.slots / mBounds.senders);
  return std::clamp<double>(part, Floor(), mBounds.connections);
}

bool
concurrency_limit::Permits(unsigned aRunning,
                           bool aOnlyHere,
                           clock::time_point aNow) const noexcept
{
  return aRunning + (aOnlyHere ? 0 : Reserve(aNow)) < Limit();
}

unsigned
concurrency_limit::Reserve(clock::time_point aNow) const noexcept
{
  const bool isNeeded =
    mOnlyHereAt != clock::time_point{} && aNow - mOnlyHereAt < kReserveLifetime;
  return isNeeded && Limit() > 1 ? std::max(Limit() / kReserveDivisor, 1U) : 0;
}

void
concurrency_limit::ArrivedOnlyHere(clock::time_point aNow) noexcept
{
  mOnlyHereAt = aNow;
}

void
concurrency_limit::Answered(std::size_t aKind,
                            clock::duration aTime,
                            unsigned aStillRunning,
                            clock::time_point aNow)
{
  if (aNow - mAnsweredAt > kMaxGap) {
    BeginInterval(aNow);
  }
  mAnsweredAt = aNow;
  auto& of = mBaselines[aKind % kKinds];
  const auto fastest = of.Observe(aTime);
  ++mAnswers;
  if (of.answers >= kMinBaseline) {
    mLeastDelay = std::min(mLeastDelay, aTime - fastest);
  }
  mIsUsed = mIsUsed || aStillRunning + 1 + Reserve(aNow) >= Limit();
  if (aNow - mSince >= kInterval && mAnswers >= kMinAnswers) {
    Adjust(aNow);
    BeginInterval(aNow);
  }
}

// By Little's law, the statements of this process that wait in the server are
// its rate times the time that each of them waits.
void
concurrency_limit::Adjust(clock::time_point aNow)
{
  if (mLeastDelay == clock::duration::max()) {
    return;
  }
  const std::chrono::duration<double> delay = mLeastDelay;
  const std::chrono::duration<double> elapsed = aNow - mSince;
  const double queued = mAnswers * (delay / elapsed);
  const double part = 1.0 * mBounds.slots / mBounds.senders;
  if (queued > kMaxQueuedPart * part) {
    SetLimit(mLimit * kDecrease);
  } else if (queued < kMinQueuedPart * part && mIsUsed) {
    SetLimit(mLimit + 1);
  }
  if (Limit() > Floor() + 1) {
    mFloorTime = clock::duration::zero();
  } else if (Limit() == Floor()) {
    mFloorTime += aNow - mSince;
  }
  if (mFloorTime >= kBaselineWindow) {
    mFloorTime = clock::duration::zero();
    for (auto& one : mBaselines) {
      one.BeginWindow();
    }
  }
}

void
concurrency_limit::Rejected(clock::time_point aNow)
{
  // The statements in flight were sent under the former limit: one decrease an
  // interval.
  if (mRejectedAt == clock::time_point{} || aNow - mRejectedAt >= kInterval) {
    mRejectedAt = aNow;
    SetLimit(mLimit * kDecreaseWhenRejected);
    BeginInterval(aNow);
  }
}

void
concurrency_limit::BeginInterval(clock::time_point aNow)
{
  mSince = aNow;
  mLeastDelay = clock::duration::max();
  mAnswers = 0;
  mIsUsed = false;
}

// A process that is alone keeps all slots busy with this limit as well: more
// would only wait inside the server.
void
concurrency_limit::SetLimit(double aLimit) noexcept
{
  const double most =
    std::min<double>(mBounds.connections, std::ceil(kFullUse * mBounds.slots));
  mLimit = std::clamp<double>(aLimit, Floor(), std::max<double>(most, Floor()));
}

} // namespace currantshed::admit
