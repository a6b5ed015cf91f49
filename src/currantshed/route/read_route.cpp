#include "currantshed/route/read_route.hpp"

#include <algorithm>
#include <optional>

namespace currantshed::route {

namespace {

using confirm::timestamped_status;
using outcome::reason;

// A server that has said nothing for so long gets no reads.
constexpr std::chrono::milliseconds kMaxStatusAge{ 300 };
// Part of the staleness bound that is left for the read itself to run in.
constexpr std::chrono::milliseconds kExecutionAllowance{ 5 };

bool
Contains(const std::vector<std::string>& aValues, const std::string& aValue)
{
  return std::find(aValues.begin(), aValues.end(), aValue) != aValues.end();
}

// When the data of a server was current, by its last word and the lag that
// it had then; none when nothing is known.
std::optional<clock::time_point>
ExpectedAsOf(const timestamped_status& aWord,
             const confirm::status_tracker& aTracker,
             clock::time_point aNow)
{
  const auto asOf = aTracker.Samples().CurrentAsOf(aWord.status.applied);
  if (!asOf) {
    return std::nullopt;
  }
  const auto lag = std::max(aWord.askedAt - *asOf, clock::duration{ 0 });
  return std::max(*asOf, aNow - lag);
}

bool
CoversFloor(const timestamped_status& aWord,
            const read_requirements& aRequirements,
            const confirm::status_tracker& aTracker,
            std::optional<clock::time_point> aExpectedAsOf)
{
  if (aWord.status.applied >= aRequirements.floor) {
    return true;
  }
  const auto written = aTracker.Samples().WrittenBy(aRequirements.floor);
  return written && aExpectedAsOf && *written <= *aExpectedAsOf;
}

// The part of the bound that the read may still use up, leaving some for it
// to run in.
clock::duration
UsableStaleness(std::chrono::milliseconds aBound)
{
  return std::max<clock::duration>(aBound - kExecutionAllowance, aBound / 2);
}

bool
IsExpectedToServe(const timestamped_status& aWord,
                  const read_requirements& aRequirements,
                  const confirm::status_tracker& aTracker,
                  clock::time_point aNow)
{
  if (aWord.askedAt + kMaxStatusAge < aNow) {
    return false;
  }
  const auto asOf = ExpectedAsOf(aWord, aTracker, aNow);
  return CoversFloor(aWord, aRequirements, aTracker, asOf) && asOf &&
         aNow - *asOf <= UsableStaleness(aRequirements.maxStaleness);
}

// Whether one would run a read sooner than another: opening a connection
// takes longer than most reads.
bool
IsBetter(const candidate& aLeft, const candidate& aRight)
{
  if (aLeft.connected != aRight.connected) {
    return aLeft.connected;
  }
  return static_cast<std::uint64_t>(aLeft.inUse) * aRight.slots <
         static_cast<std::uint64_t>(aRight.inUse) * aLeft.slots;
}

// Whether one more read would leave a slot to what only the primary can do.
bool
LeavesSlot(const candidate& aPrimary)
{
  return aPrimary.inUse + 1 < aPrimary.slots;
}

bool
MayServe(const candidate& aCandidate, const read_requirements& aRequirements)
{
  return !aCandidate.leaving &&
         IsServedIn(aRequirements.servedIn, aCandidate.failureDomain) &&
         !Contains(aRequirements.tried, aCandidate.server);
}

// The best among the replicas, or among the primary alone.
choice
ChooseAmong(bool aPrimaries,
            const std::vector<candidate>& aCandidates,
            const read_requirements& aRequirements,
            const confirm::status_tracker& aTracker,
            clock::time_point aNow)
{
  choice best;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const auto* word = aTracker.Find(candidate.server);
    if (word == nullptr || !MayServe(candidate, aRequirements)) {
      continue;
    }
    const auto isPrimary = word->status.role == upstream::server_role::kPrimary;
    if (isPrimary != aPrimaries ||
        !IsExpectedToServe(*word, aRequirements, aTracker, aNow)) {
      continue;
    }
    if (!candidate.hasCapacity) {
      best.state = best.state == availability::kReady ? availability::kReady
                                                      : availability::kBusy;
      continue;
    }
    if (best.state != availability::kReady ||
        IsBetter(candidate, aCandidates[best.index])) {
      best = { availability::kReady, i, reason::kNone };
    }
  }
  return best;
}

// Why no server can take a read at present.
reason
ReasonForNone(const std::vector<candidate>& aCandidates,
              const read_requirements& aRequirements,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow)
{
  const auto hasPlace = std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const candidate& aCandidate) {
      return !aCandidate.leaving &&
             IsServedIn(aRequirements.servedIn, aCandidate.failureDomain);
    });
  if (!hasPlace) {
    return reason::kNoEligibleServer;
  }
  return aTracker.Primary(aNow) ? reason::kTooStale : reason::kNoPrimary;
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
              const read_requirements& aRequirements,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow)
{
  if (aRequirements.fresh) {
    return ChoosePrimary(aCandidates, aRequirements.servedIn, aTracker, aNow);
  }
  const auto replica =
    ChooseAmong(false, aCandidates, aRequirements, aTracker, aNow);
  if (replica.state == availability::kReady) {
    return replica;
  }
  auto primary = ChooseAmong(true, aCandidates, aRequirements, aTracker, aNow);
  if (replica.state == availability::kBusy) {
    const auto maySpill = aRequirements.allowSpillover &&
                          primary.state == availability::kReady &&
                          LeavesSlot(aCandidates[primary.index]);
    return maySpill ? primary : replica;
  }
  if (primary.state == availability::kNone) {
    primary.why = ReasonForNone(aCandidates, aRequirements, aTracker, aNow);
    return primary;
  }
  return primary;
}

choice
ChoosePrimary(const std::vector<candidate>& aCandidates,
              const std::vector<std::string>& aServedIn,
              const confirm::status_tracker& aTracker,
              clock::time_point aNow)
{
  const auto primary = aTracker.Primary(aNow);
  if (!primary) {
    return { availability::kNone, 0, reason::kNoPrimary };
  }
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    if (candidate.server != primary->server) {
      continue;
    }
    if (!IsServedIn(aServedIn, candidate.failureDomain)) {
      return { availability::kNone, 0, reason::kNoEligibleServer };
    }
    if (candidate.leaving) {
      return { availability::kNone, 0, reason::kNoPrimary };
    }
    return { candidate.hasCapacity ? availability::kReady : availability::kBusy,
             i,
             reason::kNone };
  }
  return { availability::kNone, 0, reason::kNoPrimary };
}

} // namespace currantshed::route
