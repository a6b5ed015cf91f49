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
// Part of a read's remaining time that a primary in use by writes may take: the
// other half is left for another attempt.
constexpr int kPrimaryTimePart = 2;
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

bool
IsReserved(const candidate& aServer, clock::duration aTimeLeft)
{
  return aServer.isPrimary && (ReservedFor(aServer) > clock::duration::zero() ||
                               TimeOf(aServer) > aTimeLeft / kPrimaryTimePart);
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
  bool hasReservedPrimary = false;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& one = aCandidates[i];
    if (!one.canServe) {
      continue;
    }
    // With nothing but the primary there is nothing to decide.
    if (aCandidates.size() > 1 && IsReserved(one, aTimeLeft)) {
      hasReservedPrimary = true;
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
      return { action::kSend, BetterOfTwo(aCandidates, *from, aRandom) };
    }
  }
  if (willBeFree) {
    return {};
  }
  // An ejected server may still answer; nothing else would.
  if (!ejected.empty()) {
    return { action::kSend, BetterOfTwo(aCandidates, ejected, aRandom) };
  }
  if (!hasReservedPrimary) {
    return {};
  }
  std::optional<clock::duration> earliest;
  for (const auto& one : aCandidates) {
    const auto from = UsableIn(one, aTimeLeft);
    if (from && (!earliest || *from < *earliest)) {
      earliest = from;
    }
  }
  return { earliest ? action::kWait : action::kRefuse, 0, earliest };
}

} // namespace currantshed::balance
