#include "currantshed/proxy/server_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace currantshed::proxy {

namespace {

using std::chrono::milliseconds;

// Assumed latency of a statement before any was measured: a few milliseconds of
// work, plus a round trip within or between failure domains.
constexpr milliseconds kNearLatency{ 10 };
constexpr milliseconds kFarLatency{ 13 };
// Divisor of the newest sample in the moving average: an eighth follows a
// server that becomes slow within ten statements.
constexpr int kMeanWeight = 8;
// An average that is not updated expires, so that a server which was slow is
// tried again.
constexpr milliseconds kMeanLifetime{ 2000 };
// Assumed replication lag at first, and its lower bound.
constexpr milliseconds kInitialLag{ 100 };
constexpr milliseconds kMinLag{ 5 };
constexpr milliseconds kMaxLag{ 5000 };
// A rejection shows only a lower bound of the lag, which is multiplied by this
// factor. Together with the half-life, each VM tries a replica that stays
// behind about once a second.
constexpr double kLagOvershoot = 1.5;
constexpr milliseconds kLagHalfLife{ 2000 };
constexpr milliseconds kInitialAvoidance{ 100 };
constexpr unsigned kMaxDoublings = 4;
// How long no connection is requested from a server that was at its limit.
constexpr milliseconds kServerFullBackoff{ 250 };
// Stalled connections, which wait for a lost answer or a paused caller, do not
// count towards the limit, up to this multiple of it: the share of the other
// VMs stays free.
constexpr std::size_t kMaxStalledFactor = 2;
// Connections through relays to one server; each is a session of some hundred
// bytes on the relay.
constexpr std::size_t kMaxRelayed = 32;
constexpr unsigned kMaxOpeningRelayed = 4;
// A connection usually opens within 20 ms; after this time another path is
// tried in parallel.
constexpr milliseconds kSlowConnect{ 100 };
// An answer that takes longer is lost, or its server is frozen or cut off: the
// statement does not count as in flight.
constexpr milliseconds kAnswerLost{ 500 };

} // namespace

server_state::server_state(server aListed, bool aIsNear)
  : listed(std::move(aListed))
  , mDefaultLatency(aIsNear ? kNearLatency : kFarLatency)
  , mMeanLatency(mDefaultLatency)
  , mLag(kInitialLag)
{
}

void
server_state::Update(const server& aListed, clock::time_point aNow)
{
  if (listed.Incarnation() != aListed.Incarnation()) {
    ResetForNewIncarnation(aNow);
  }
  if (listed.slots != aListed.slots) {
    planEpoch = 0;
  }
  listed = aListed;
  unlisted = false;
  if (!aListed.draining) {
    drainingSince.reset();
  } else if (!drainingSince) {
    drainingSince = aListed.drainingSince.value_or(aNow);
  }
}

// A restarted server holds no data yet: reads go elsewhere until it has
// reported its log position or has had time to catch up.
void
server_state::ResetForNewIncarnation(clock::time_point aNow)
{
  mIncarnationSince = aNow;
  drainingSince.reset();
  applied.reset();
  mLag = kMaxLag;
  mLagAt = aNow;
  mMeanLatency = mDefaultLatency;
  mMeanLatencyAt = {};
  mFailures = 0;
  mAvoidUntil = {};
  mNoOpenUntil = {};
  mRelayFailures.clear();
  if (limit) {
    limit->Reset();
  }
  health = {};
  reportedLoad.reset();
  for (const auto& one : connections) {
    one->retiring = true;
  }
}

bool
server_state::AcceptsWork(milliseconds aDrainGracePeriod,
                          clock::time_point aNow) const
{
  return !unlisted &&
         !(drainingSince && aNow >= *drainingSince + aDrainGracePeriod);
}

unsigned
server_state::Running() const
{
  return static_cast<unsigned>(std::count_if(
    connections.begin(), connections.end(), [](const auto& aConnection) {
      return aConnection->IsOpen() && !aConnection->HasNoPending();
    }));
}

unsigned
server_state::InFlight(clock::time_point aNow) const
{
  return static_cast<unsigned>(std::count_if(
    connections.begin(), connections.end(), [aNow](const auto& aOne) {
      if (!aOne->IsDirect()) {
        return false;
      }
      return aOne->IsOpen() ? aOne->HasWork() &&
                                aNow - aOne->OldestPendingAt() <= kAnswerLost
                            : aNow - aOne->CreatedAt() <= kSlowConnect;
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
server_state::FindIdle(const session_values& aValues,
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
    const int rank =
      1 + (one->IsDirect() ? 2 : 0) + (one->HasValues(aValues) ? 1 : 0);
    if (rank > best) {
      found = one.get();
      best = rank;
    }
  }
  return found;
}

const path*
server_state::PathToOpen(clock::time_point aNow,
                         const std::string& aCustomer) const
{
  for (const auto& candidate : plan.paths) {
    if (candidate.IsDirect()) {
      if (MayOpenFor(aCustomer, aNow)) {
        return &candidate;
      }
      // A connection holder waits for one of its connections, unless none of
      // them works.
      if (plan.isHolder && !IsCutOff(aNow)) {
        return nullptr;
      }
    } else if (!IsRelayAvoided(candidate.vm, aNow)) {
      // A slow path is not waited for while there are others.
      const auto opening = CountOpening(candidate.vm, aNow);
      if (opening.slow > 0) {
        continue;
      }
      const bool room =
        Count(false) < kMaxRelayed && opening.all < kMaxOpeningRelayed;
      return room ? &candidate : nullptr;
    }
  }
  return nullptr;
}

server_state::opening_counts
server_state::CountOpening(const std::string& aVm, clock::time_point aNow) const
{
  opening_counts found;
  for (const auto& one : connections) {
    if (!one->IsOpen() && one->via == aVm) {
      ++found.all;
      found.slow += aNow - one->CreatedAt() > kSlowConnect ? 1 : 0;
    }
  }
  return found;
}

bool
server_state::IsRelayAvoided(const std::string& aVm,
                             clock::time_point aNow) const
{
  const auto failures = mRelayFailures.find(aVm);
  return failures != mRelayFailures.end() && aNow < failures->second.avoidUntil;
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
    slow = slow || (one->IsDirect() && aNow - one->CreatedAt() > kSlowConnect);
  }
  return slow;
}

bool
server_state::IsReachable(clock::time_point aNow) const
{
  return std::any_of(
    plan.paths.begin(), plan.paths.end(), [&](const auto& aPath) {
      return aPath.IsDirect() ? !IsAvoided(aNow)
                              : !IsRelayAvoided(aPath.vm, aNow);
    });
}

bool
server_state::MayOpenFor(const std::string& aCustomer,
                         clock::time_point aNow) const
{
  if (!aCustomer.empty()) {
    return MayConnect(aNow) && DecideOpening(aCustomer, aNow).opens;
  }
  const bool isAnyOfCustomer =
    std::any_of(connections.begin(), connections.end(), [](const auto& aOne) {
      return aOne->IsIdle() && aOne->IsDirect() && !aOne->customer.empty();
    });
  return Opening(true) == 0 && (MayOpenDirect(plan.connections, aNow) ||
                                (MayConnect(aNow) && isAnyOfCustomer));
}

opening_decision
server_state::DecideOpening(const std::string& aCustomer,
                            clock::time_point aNow) const
{
  std::vector<customer_connection> direct;
  direct.reserve(connections.size());
  for (const auto& one : connections) {
    if (one->IsDirect()) {
      direct.push_back({ one->customer,
                         one->IsOpen(),
                         one->IsIdle(),
                         one->retiring,
                         one->idleSince });
    }
  }
  return shares.Decide(aCustomer,
                       direct,
                       { plan.connections,
                         HasRoom(plan.connections, aNow),
                         listed.slots,
                         Running() },
                       aNow);
}

bool
server_state::HasDirectFor(const std::string& aCustomer) const
{
  return std::any_of(
    connections.begin(), connections.end(), [&aCustomer](const auto& aOne) {
      return aOne->IsDirect() && !aOne->retiring && aOne->customer == aCustomer;
    });
}

connection*
server_state::ConnectionToClose(const std::string& aCustomer,
                                clock::time_point aNow) const
{
  const auto closes = DecideOpening(aCustomer, aNow).closes;
  if (!closes) {
    return nullptr;
  }
  std::size_t index = 0;
  for (const auto& one : connections) {
    if (one->IsDirect() && index++ == *closes) {
      return one.get();
    }
  }
  return nullptr;
}

bool
server_state::MayConnect(clock::time_point aNow) const
{
  return aNow >= mNoOpenUntil && !IsAvoided(aNow);
}

bool
server_state::MayOpenDirect(std::size_t aLimit, clock::time_point aNow) const
{
  return HasRoom(aLimit, aNow) && MayConnect(aNow);
}

bool
server_state::HasRoom(std::size_t aLimit, clock::time_point aNow) const
{
  std::size_t direct = 0;
  std::size_t stalled = 0;
  for (const auto& one : connections) {
    direct += one->IsDirect() ? 1 : 0;
    stalled += one->IsDirect() && one->IsStalled(aNow) ? 1 : 0;
  }
  return direct - stalled < aLimit && direct < kMaxStalledFactor * aLimit;
}

bool
server_state::IsAvoided(clock::time_point aNow) const
{
  return aNow < mAvoidUntil;
}

clock::duration
server_state::ExpectedLatency(clock::time_point aNow) const
{
  auto oldest = clock::time_point::max();
  for (const auto& one : connections) {
    oldest = std::min(oldest, one->OldestPendingAt());
  }
  const auto mean =
    aNow - mMeanLatencyAt > kMeanLifetime ? mDefaultLatency : mMeanLatency;
  // A server with an overdue answer is slow, whatever its average says.
  const auto overdue = oldest < aNow ? aNow - oldest : clock::duration::zero();
  return std::max(mean, overdue / 2) * (Running() + 1);
}

void
server_state::ObserveLatency(clock::time_point aSentAt, clock::time_point aNow)
{
  const auto base =
    aNow - mMeanLatencyAt > kMeanLifetime ? mDefaultLatency : mMeanLatency;
  mMeanLatency = base + ((aNow - aSentAt) - base) / kMeanWeight;
  mMeanLatencyAt = aNow;
  mFailures = 0;
  mRelayFailures.clear();
}

void
server_state::ObservePosition(const position::log_position& aPosition,
                              const confirm::position_samples& aPrimary,
                              clock::time_point aNow)
{
  applied = aPosition;
  const auto current = aPrimary.CurrentAsOf(aPosition);
  if (current) {
    const auto observed = aNow - *current;
    const auto estimated = Lag(aNow);
    mLag = observed < estimated
             ? estimated + (observed - estimated) / kMeanWeight
             : estimated;
    mLagAt = aNow;
  }
}

void
server_state::ObserveLag(clock::time_point aWrittenBy, clock::time_point aNow)
{
  const auto lowerBound = std::chrono::duration_cast<clock::duration>(
    (aNow - aWrittenBy) * kLagOvershoot);
  mLag = std::min<clock::duration>(std::max(Lag(aNow), lowerBound), kMaxLag);
  mLagAt = aNow;
}

clock::duration
server_state::Lag(clock::time_point aNow) const
{
  const std::chrono::duration<double> since = aNow - mLagAt;
  const auto fading = std::exp2(-since / kLagHalfLife);
  const auto faded = std::chrono::duration_cast<clock::duration>(mLag * fading);
  return std::max<clock::duration>(faded, kMinLag);
}

void
server_state::ObserveReportedLag(clock::duration aLag, clock::time_point aNow)
{
  const auto own = Lag(aNow);
  mLag =
    std::min<clock::duration>(aLag < own ? (own + aLag) / 2 : aLag, kMaxLag);
  mLagAt = aNow;
}

void
server_state::ObserveFailure(clock::time_point aNow)
{
  mAvoidUntil =
    aNow + kInitialAvoidance * (1U << std::min(mFailures, kMaxDoublings));
  ++mFailures;
}

void
server_state::ObserveRelayFailure(const std::string& aVm,
                                  clock::time_point aNow)
{
  auto& candidate = mRelayFailures[aVm];
  candidate.avoidUntil =
    aNow + kInitialAvoidance * (1U << std::min(candidate.count, kMaxDoublings));
  ++candidate.count;
}

void
server_state::ObserveUnreachableThrough(const std::string& aVm,
                                        clock::time_point aNow)
{
  ObserveRelayFailure(aVm, aNow);
  for (const auto& one : connections) {
    one->retiring = one->retiring || one->via == aVm;
  }
}

void
server_state::ObserveServerFull(clock::time_point aNow)
{
  mNoOpenUntil = aNow + kServerFullBackoff;
}

} // namespace currantshed::proxy
