#include "currantshed/route/read_route.hpp"

#include <algorithm>
#include <optional>

namespace currantshed::route {

namespace {

using confirm::dated_status;
using outcome::reason;

// Servers whose latest status is older than this get no reads.
constexpr std::chrono::milliseconds kSilence{ 300 };
// Part of the staleness bound that is reserved for the execution of the read.
constexpr std::chrono::milliseconds kRunAllowance{ 5 };

bool
Contains(const std::vector<std::string>& aValues, const std::string& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

// Estimates as of when a server's data is current, assuming that its lag has
// not changed since its latest status; none without samples.
std::optional<clock::time_point>
ExpectedAsOf(const dated_status& aWord,
             const confirm::status_board& aBoard,
             clock::time_point aNow)
{
  const auto asOf = aBoard.Samples().CurrentAsOf(aWord.status.applied);
  if (!asOf) {
    return std::nullopt;
  }
  const auto lag = std::max(aWord.askedAt - *asOf, clock::duration{ 0 });
  return std::max(*asOf, aNow - lag);
}

bool
CoversFloor(const dated_status& aWord,
            const read_need& aNeed,
            const confirm::status_board& aBoard,
            std::optional<clock::time_point> aExpectedAsOf)
{
  if (aWord.status.applied >= aNeed.floor) {
    return true;
  }
  const auto written = aBoard.Samples().WrittenBy(aNeed.floor);
  return written && aExpectedAsOf && *written <= *aExpectedAsOf;
}

// Maximum age of the data when the read is dispatched, such that part of the
// bound remains for its execution.
clock::duration
UsableStaleness(std::chrono::milliseconds aBound)
{
  return std::max<clock::duration>(aBound - kRunAllowance, aBound / 2);
}

bool
IsExpectedToServe(const dated_status& aWord,
                  const read_need& aNeed,
                  const confirm::status_board& aBoard,
                  clock::time_point aNow)
{
  if (aWord.askedAt + kSilence < aNow) {
    return false;
  }
  const auto asOf = ExpectedAsOf(aWord, aBoard, aNow);
  return CoversFloor(aWord, aNeed, aBoard, asOf) && asOf &&
         aNow - *asOf <= UsableStaleness(aNeed.maxStaleness);
}

// Whether the left candidate would start a read sooner. Opening a connection
// takes longer than most reads, so an existing connection comes before a lower
// load.
bool
IsBetter(const candidate& aLeft, const candidate& aRight)
{
  if (aLeft.connected != aRight.connected) {
    return aLeft.connected;
  }
  return static_cast<std::uint64_t>(aLeft.inUse) * aRight.slots <
         static_cast<std::uint64_t>(aRight.inUse) * aLeft.slots;
}

// Whether a further read would leave a slot free for requests that only the
// primary can serve.
bool
LeavesSlot(const candidate& aPrimary)
{
  return aPrimary.inUse + 1 < aPrimary.slots;
}

bool
MayServe(const candidate& aCandidate, const read_need& aNeed)
{
  return !aCandidate.leaving &&
         IsServedIn(aNeed.servedIn, aCandidate.failureDomain) &&
         !Contains(aNeed.tried, aCandidate.server);
}

// Chooses the best of the replicas, or of the primary alone if aPrimaries is
// set.
choice
ChooseAmong(bool aPrimaries,
            const std::vector<candidate>& aCandidates,
            const read_need& aNeed,
            const confirm::status_board& aBoard,
            clock::time_point aNow)
{
  choice best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const auto* word = aBoard.Find(candidate.server);
    if (word == nullptr || !MayServe(candidate, aNeed)) {
      continue;
    }
    const auto isPrimary = word->status.role == upstream::server_role::kPrimary;
    if (isPrimary != aPrimaries ||
        !IsExpectedToServe(*word, aNeed, aBoard, aNow)) {
      continue;
    }
    if (!candidate.room) {
      best.state =
        best.state == standing::kReady ? standing::kReady : standing::kBusy;
      continue;
    }
    if (best.state != standing::kReady ||
        IsBetter(candidate, aCandidates[best.index])) {
      best = { standing::kReady, i, reason::kNone };
    }
  }
  return best;
}

// The reason for which no server can currently serve a read.
reason
ReasonForNone(const std::vector<candidate>& aCandidates,
              const read_need& aNeed,
              const confirm::status_board& aBoard,
              clock::time_point aNow)
{
  const auto hasPlace = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const candidate& aCandidate) {
      return !aCandidate.leaving &&
             IsServedIn(aNeed.servedIn, aCandidate.failureDomain);
    });
  if (!hasPlace) {
    return reason::kNoPlace;
  }
  return aBoard.Primary(aNow) ? reason::kTooStale : reason::kNoPrimary;
}

} // namespace

bool
IsServedIn(const std::vector<std::string>& aServedIn,
           const std::string& aFailureDomain)
{
  return Contains(aServedIn, aFailureDomain);
}

choice
ChooseForRead(const std::vector<candidate>& aCandidates,
              const read_need& aNeed,
              const confirm::status_board& aBoard,
              clock::time_point aNow)
{
  if (aNeed.fresh) {
    return ChoosePrimary(aCandidates, aNeed.servedIn, aBoard, aNow);
  }
  const auto replica = ChooseAmong(false, aCandidates, aNeed, aBoard, aNow);
  if (replica.state == standing::kReady) {
    return replica;
  }
  auto primary = ChooseAmong(true, aCandidates, aNeed, aBoard, aNow);
  if (replica.state == standing::kBusy) {
    const auto maySpill = aNeed.spill && primary.state == standing::kReady &&
                          LeavesSlot(aCandidates[primary.index]);
    return maySpill ? primary : replica;
  }
  if (primary.state == standing::kNone) {
    primary.why = ReasonForNone(aCandidates, aNeed, aBoard, aNow);
    return primary;
  }
  return primary;
}

choice
ChoosePrimary(const std::vector<candidate>& aCandidates,
              const std::vector<std::string>& aServedIn,
              const confirm::status_board& aBoard,
              clock::time_point aNow)
{
  const auto primary = aBoard.Primary(aNow);
  if (!primary) {
    return { standing::kNone, 0, reason::kNoPrimary };
  }
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    if (candidate.server != primary->server) {
      continue;
    }
    if (!IsServedIn(aServedIn, candidate.failureDomain)) {
      return { standing::kNone, 0, reason::kNoPlace };
    }
    if (candidate.leaving) {
      return { standing::kNone, 0, reason::kNoPrimary };
    }
    return { candidate.room ? standing::kReady : standing::kBusy,
             i,
             reason::kNone };
  }
  return { standing::kNone, 0, reason::kNoPrimary };
}

} // namespace currantshed::route
