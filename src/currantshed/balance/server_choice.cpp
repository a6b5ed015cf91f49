#include "currantshed/balance/server_choice.hpp"

#include <algorithm>
#include <optional>
#include <span>

namespace currantshed::balance {

namespace {

using std::chrono::milliseconds;

// A VM sends a group one or two statements a second: a shorter lifetime would
// leave most decisions without a report.
constexpr milliseconds kReportLifetime{ 1000 };
// Reads stay away for at least so long after a report of waiting requests: a
// queue that has formed seldom ends within a few statements of 35 ms.
constexpr milliseconds kMinReservation{ 100 };
// Lower bound of the delay before a waiting read is looked at again.
constexpr milliseconds kMinRetryDelay{ 10 };
// Factor on the primary's expected time for reads: replicas are preferred
// unless they are much slower.
constexpr int kPrimaryPenalty = 2;

// The report's wait as far as it has not passed yet.
clock::duration
WaitOf(const candidate& aServer)
{
  if (!aServer.load || aServer.load->age > kReportLifetime) {
    return clock::duration::zero();
  }
  return std::max<clock::duration>(
    aServer.load->expectedWait - aServer.load->age, milliseconds{ 0 });
}

clock::duration
TimeOf(const candidate& aServer)
{
  return aServer.expected + WaitOf(aServer);
}

// How long requests are expected to go on waiting for the server.
clock::duration
ReservedFor(const candidate& aServer)
{
  if (!aServer.load || aServer.load->queued == 0 ||
      aServer.load->age > kReportLifetime) {
    return clock::duration::zero();
  }
  return std::max<clock::duration>(
    std::max(aServer.load->expectedWait, kMinReservation) - aServer.load->age,
    milliseconds{ 0 });
}

// Only a report shows that requests wait: a long expected time alone may be
// that of slow statements, which keep nobody waiting.
bool
IsReserved(const candidate& aServer)
{
  return aServer.isPrimary && ReservedFor(aServer) > clock::duration::zero();
}

clock::duration
CostOf(const candidate& aServer)
{
  return TimeOf(aServer) * (aServer.isPrimary ? kPrimaryPenalty : 1);
}

std::size_t
BetterOfTwo(const std::vector<candidate>& aCandidates,
            std::span<const std::size_t> aFrom,
            std::uint64_t aRandom)
{
  const auto count = aFrom.size();
  const auto first = aRandom % count;
  if (count == 1) {
    return aFrom[first];
  }
  const auto second = (first + 1 + aRandom / count % (count - 1)) % count;
  const bool isFirst =
    CostOf(aCandidates[aFrom[first]]) <= CostOf(aCandidates[aFrom[second]]);
  return aFrom[isFirst ? first : second];
}

// The better of two replicas; the primary, if it costs less than that one.
std::size_t
Draw(const std::vector<candidate>& aCandidates,
     const std::vector<std::size_t>& aFrom,
     std::uint64_t aRandom)
{
  std::vector<std::size_t> replicas;
  std::optional<std::size_t> primary;
  for (const auto index : aFrom) {
    if (aCandidates[index].isPrimary) {
      primary = index;
    } else {
      replicas.push_back(index);
    }
  }
  if (replicas.empty()) {
    return *primary;
  }
  const auto drawn = BetterOfTwo(aCandidates, replicas, aRandom);
  const bool isPrimary =
    primary && CostOf(aCandidates[*primary]) < CostOf(aCandidates[drawn]);
  return isPrimary ? *primary : drawn;
}

// Whether a returning server takes part, by bits that the pair doesn't depend
// on for small groups.
bool
TakesPart(const candidate& aServer, std::size_t aIndex, std::uint64_t aRandom)
{
  constexpr unsigned kFirstBit = 24;
  constexpr unsigned kBits = 10;
  constexpr std::size_t kLotteries = 4;
  const auto drawn =
    (aRandom >> (kFirstBit + kBits * (aIndex % kLotteries))) % (1U << kBits);
  return static_cast<double>(drawn) < aServer.share * (1U << kBits);
}

// When the server is expected to be usable for a read that it can still answer
// in time; empty if it can't.
std::optional<clock::duration>
UsableIn(const candidate& aServer, clock::duration aTimeLeft)
{
  std::optional<clock::duration> from;
  if (!aServer.isPrimary && aServer.share > 0) {
    from = aServer.catchesUpIn;
  } else if (aServer.isPrimary && aServer.canServe &&
             ReservedFor(aServer) > clock::duration::zero()) {
    from = ReservedFor(aServer);
  }
  if (!from || *from + aServer.expected > aTimeLeft) {
    return std::nullopt;
  }
  return std::max<clock::duration>(*from, kMinRetryDelay);
}

} // namespace

choice
ChooseServer(const std::vector<candidate>& aCandidates,
             clock::duration aTimeLeft,
             std::uint64_t aRandom)
{
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> returning;
  std::vector<std::size_t> ejected;
  bool willBeFree = false;
  std::optional<std::size_t> reserved;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& one = aCandidates[i];
    if (!one.canServe) {
      continue;
    }
    // With nothing but the primary there is nothing to decide.
    if (aCandidates.size() > 1 && IsReserved(one)) {
      reserved = i;
    } else if (!one.hasConnection) {
      willBeFree = willBeFree || one.share > 0;
    } else if (one.share <= 0) {
      ejected.push_back(i);
    } else if (TakesPart(one, i, aRandom)) {
      chosen.push_back(i);
    } else {
      returning.push_back(i);
    }
  }
  using action = choice::action;
  for (const auto* from : { &chosen, &returning }) {
    if (!from->empty()) {
      return { action::kSend, Draw(aCandidates, *from, aRandom) };
    }
  }
  if (willBeFree) {
    return {};
  }
  // An ejected server may still answer; nothing else would.
  if (!ejected.empty()) {
    return { action::kSend, Draw(aCandidates, ejected, aRandom) };
  }
  if (!reserved) {
    return {};
  }
  std::optional<clock::duration> earliest;
  for (const auto& one : aCandidates) {
    const auto from = UsableIn(one, aTimeLeft);
    if (from && (!earliest || *from < *earliest)) {
      earliest = from;
    }
  }
  if (earliest) {
    return { action::kWait, 0, earliest };
  }
  // Nothing else can serve it: it is refused only if it would certainly be
  // late.
  const auto& primary = aCandidates[*reserved];
  if (WaitOf(primary) > aTimeLeft) {
    return { action::kRefuse, 0, {} };
  }
  return primary.hasConnection ? choice{ action::kSend, *reserved, {} }
                               : choice{};
}

} // namespace currantshed::balance
