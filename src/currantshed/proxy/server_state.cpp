#include "currantshed/proxy/server_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// Assumed latency of a statement before any was measured: a few milliseconds of
// work, plus a round trip within or between failure domains.
constexpr milliseconds kNearTime{ 10 };
constexpr milliseconds kFarTime{ 13 };
// Divisor of the newest sample in the moving average: an eighth follows a
// server that becomes slow within ten statements.
constexpr int kMeanWeight = 8;
// An average that is not updated expires, so that a server which was slow is
// tried again.
constexpr milliseconds kMeanLife{ 2000 };
// Assumed replication lag at first, and its lower bound.
constexpr milliseconds kFirstLag{ 100 };
constexpr milliseconds kLeastLag{ 5 };
constexpr milliseconds kLongestLag{ 5000 };
// A rejection shows only a lower bound of the lag, which is multiplied by this
// factor. Together with the half-life, each VM tries a replica that stays
// behind about once a second.
constexpr double kLagBeyond = 1.5;
constexpr milliseconds kLagHalfLife{ 2000 };
constexpr milliseconds kFirstAvoidance{ 100 };
constexpr unsigned kDoublings = 4;
// How long no connection is requested from a server that was at its limit.
constexpr milliseconds kFullPause{ 250 };
// Stalled connections, which wait for a lost answer or a paused caller, do not
// count towards the limit, up to this multiple of it: the share of the other
// VMs stays free.
constexpr std::size_t kMostHeldUp = 2;
// Connections through relays to one server; each is a session of some hundred
// bytes on the relay.
constexpr std::size_t kMostRelayed = 32;
constexpr unsigned kMostOpeningRelayed = 4;
// Direct connections opened at the same time when each belongs to a customer:
// each opening takes one of the server's few execution slots.
constexpr unsigned kMostOpeningDirect = 2;
// A connection usually opens within 20 ms; after this time another path is
// tried in parallel.
constexpr milliseconds kSlowOpening{ 100 };

} // namespace

server_state::server_state(server aListed, bool aIsNear)
  : listed(std::move(aListed))
  , mUsual(aIsNear ? kNearTime : kFarTime)
  , mMean(mUsual)
  , mLag(kFirstLag)
{
}

void
server_state::List(const server& aListed, clock::time_point aNow)
{
  if (listed.Life() != aListed.Life()) {
    StartAnew(aNow);
  }
  listed = aListed;
  unlisted = false;
  if (!aListed.draining) {
    leavingSince.reset();
  } else if (!leavingSince) {
    leavingSince = aListed.leavingSince.value_or(aNow);
  }
}

// A restarted server holds no data yet: reads go elsewhere until it has
// reported its log position or has had time to catch up.
void
server_state::StartAnew(clock::time_point aNow)
{
  mLivesSince = aNow;
  leavingSince.reset();
  applied.reset();
  mLag = kLongestLag;
  mLagAt = aNow;
  mMean = mUsual;
  mMeanAt = {};
  mFailures = 0;
  mAvoidUntil = {};
  mNoOpenUntil = {};
  mWays.clear();
  for (const auto& one : connections) {
    one->retiring = true;
  }
}

bool
server_state::TakesWork(milliseconds aLeavingUse, clock::time_point aNow) const
{
  return !unlisted && !(leavingSince && aNow >= *leavingSince + aLeavingUse);
}

unsigned
server_state::Running() const
{
  return static_cast<unsigned>(std::count_if(
    connections.begin(), connections.end(), [](const auto& aConnection) {
      return aConnection->IsOpen() && !aConnection->IsQuiet();
    }));
}

unsigned
server_state::Opening(bool aDirect) const
{
  return static_cast<unsigned>(std::count_if(
    connections.begin(), connections.end(), [aDirect](const auto& aOne) {
      return !aOne->IsOpen() && aOne->IsDirect() == aDirect;
    }));
}

std::size_t
server_state::Count(bool aDirect) const
{
  return static_cast<std::size_t>(std::count_if(
    connections.begin(), connections.end(), [aDirect](const auto& aOne) {
      return aOne->IsDirect() == aDirect;
    }));
}

connection*
server_state::Idle(const session_values& aValues,
                   bool aOnlyDirect,
                   const std::string* aCustomer)
{
  connection* found = nullptr;
  int best = 0;
  for (const auto& one : connections) {
    if (!one->IsIdle() || one->retiring || (aOnlyDirect && !one->IsDirect()) ||
        (aCustomer != nullptr && !one->Serves(*aCustomer))) {
      continue;
    }
    const int worth =
      1 + (one->IsDirect() ? 2 : 0) + (one->HasValues(aValues) ? 1 : 0);
    if (worth > best) {
      found = one.get();
      best = worth;
    }
  }
  return found;
}

const path*
server_state::OpenWay(clock::time_point aNow,
                      const std::string& aCustomer) const
{
  for (const auto& way : plan.paths) {
    if (way.IsDirect()) {
      if (MayOpenFor(aCustomer, aNow)) {
        return &way;
      }
      // A connection holder waits for one of its connections, unless none of
      // them works.
      if (plan.holds && !IsCutOff(aNow)) {
        return nullptr;
      }
    } else if (!IsWayAvoided(way.vm, aNow)) {
      // A slow path is not waited for while there are others.
      const auto opening = OpeningVia(way.vm, aNow);
      if (opening.slow > 0) {
        continue;
      }
      const bool room =
        Count(false) < kMostRelayed && opening.all < kMostOpeningRelayed;
      return room ? &way : nullptr;
    }
  }
  return nullptr;
}

server_state::openings
server_state::OpeningVia(const std::string& aVm, clock::time_point aNow) const
{
  openings found;
  for (const auto& one : connections) {
    if (!one->IsOpen() && one->via == aVm) {
      ++found.all;
      found.slow += aNow - one->MadeAt() > kSlowOpening ? 1 : 0;
    }
  }
  return found;
}

bool
server_state::IsWayAvoided(const std::string& aVm, clock::time_point aNow) const
{
  const auto failures = mWays.find(aVm);
  return failures != mWays.end() && aNow < failures->second.avoidUntil;
}

bool
server_state::IsCutOff(clock::time_point aNow) const
{
  if (IsAvoided(aNow)) {
    return true;
  }
  // A server at its connection limit, perhaps due to connections of VMs that
  // are gone, is reached through VMs that have one.
  bool slow = aNow < mNoOpenUntil;
  for (const auto& one : connections) {
    if (one->IsDirect() && one->IsOpen()) {
      return false;
    }
    slow = slow || (one->IsDirect() && aNow - one->MadeAt() > kSlowOpening);
  }
  return slow;
}

bool
server_state::IsReachable(clock::time_point aNow) const
{
  return std::any_of(
    plan.paths.begin(), plan.paths.end(), [&](const auto& aWay) {
      return aWay.IsDirect() ? !IsAvoided(aNow) : !IsWayAvoided(aWay.vm, aNow);
    });
}

bool
server_state::MayOpenFor(const std::string& aCustomer,
                         clock::time_point aNow) const
{
  const auto opening = Opening(true);
  const bool isAwaited = std::any_of(
    connections.begin(), connections.end(), [&aCustomer](const auto& aOne) {
      return !aOne->IsOpen() && aOne->IsDirect() && aOne->customer == aCustomer;
    });
  const auto most = aCustomer.empty() ? 1 : kMostOpeningDirect;
  if (isAwaited || opening >= most) {
    return false;
  }
  return MayOpenDirect(plan.connections, aNow) ||
         (MayAsk(aNow) && LeastUsed(aCustomer) != nullptr);
}

connection*
server_state::LeastUsed(const std::string& aCustomer) const
{
  connection* found = nullptr;
  for (const auto& one : connections) {
    const bool isOther =
      one->IsIdle() && one->IsDirect() && one->customer != aCustomer;
    if (isOther && (found == nullptr || one->idleSince < found->idleSince)) {
      found = one.get();
    }
  }
  return found;
}

bool
server_state::MayAsk(clock::time_point aNow) const
{
  return aNow >= mNoOpenUntil && !IsAvoided(aNow);
}

bool
server_state::MayOpenDirect(std::size_t aLimit, clock::time_point aNow) const
{
  return HasRoom(aLimit, aNow) && MayAsk(aNow);
}

bool
server_state::HasRoom(std::size_t aLimit, clock::time_point aNow) const
{
  std::size_t direct = 0;
  std::size_t heldUp = 0;
  for (const auto& one : connections) {
    direct += one->IsDirect() ? 1 : 0;
    heldUp += one->IsDirect() && one->IsHeldUp(aNow) ? 1 : 0;
  }
  return direct - heldUp < aLimit && direct < kMostHeldUp * aLimit;
}

bool
server_state::IsAvoided(clock::time_point aNow) const
{
  return aNow < mAvoidUntil;
}

clock::duration
server_state::Expected(clock::time_point aNow) const
{
  auto oldest = clock::time_point::max();
  for (const auto& one : connections) {
    oldest = std::min(oldest, one->OldestSent());
  }
  const auto mean = aNow - mMeanAt > kMeanLife ? mUsual : mMean;
  // A server with an overdue answer is slow, whatever its average says.
  const auto owed = oldest < aNow ? aNow - oldest : clock::duration::zero();
  return std::max(mean, owed / 2) * (Running() + 1);
}

void
server_state::Served(clock::time_point aSentAt, clock::time_point aNow)
{
  const auto base = aNow - mMeanAt > kMeanLife ? mUsual : mMean;
  mMean = base + ((aNow - aSentAt) - base) / kMeanWeight;
  mMeanAt = aNow;
  mFailures = 0;
  mWays.clear();
}

void
server_state::At(const position::log_position& aPosition,
                 const confirm::position_samples& aPrimary,
                 clock::time_point aNow)
{
  applied = aPosition;
  const auto current = aPrimary.CurrentAsOf(aPosition);
  if (current) {
    const auto seen = aNow - *current;
    const auto likely = Lag(aNow);
    mLag = seen < likely ? likely + (seen - likely) / kMeanWeight : likely;
    mLagAt = aNow;
  }
}

void
server_state::Lagged(clock::time_point aWrittenBy, clock::time_point aNow)
{
  const auto shown = std::chrono::duration_cast<clock::duration>(
    (aNow - aWrittenBy) * kLagBeyond);
  mLag = std::min<clock::duration>(std::max(Lag(aNow), shown), kLongestLag);
  mLagAt = aNow;
}

clock::duration
server_state::Lag(clock::time_point aNow) const
{
  const std::chrono::duration<double> since = aNow - mLagAt;
  const auto fading = std::exp2(-since / kLagHalfLife);
  const auto faded = std::chrono::duration_cast<clock::duration>(mLag * fading);
  return std::max<clock::duration>(faded, kLeastLag);
}

void
server_state::Failed(clock::time_point aNow)
{
  mAvoidUntil =
    aNow + kFirstAvoidance * (1U << std::min(mFailures, kDoublings));
  ++mFailures;
}

void
server_state::WayFailed(const std::string& aVm, clock::time_point aNow)
{
  auto& way = mWays[aVm];
  way.avoidUntil =
    aNow + kFirstAvoidance * (1U << std::min(way.count, kDoublings));
  ++way.count;
}

void
server_state::Full(clock::time_point aNow)
{
  mNoOpenUntil = aNow + kFullPause;
}

} // namespace currantshed::proxy
