#include "test/matrix/cells.hpp"

#include <random>

#include "test/matrix/steps.hpp"

namespace currantshed::matrix {

namespace {

constexpr unsigned kLaterOccurrence = 40;
constexpr unsigned kRepeat = 25;
constexpr unsigned kMostSearched = 1500;
constexpr unsigned kEveryAnswer = 400;

bool
NeedsFailover(const step& aStep)
{
  return aStep.of == layer::kFailover;
}

/// Steps of the configuration applier and of failover are reached only a few
/// times per run, so late occurrences are not tried there.
unsigned
LaterOccurrence(const step& aStep)
{
  const bool rare = aStep.of == layer::kApply ||
                    (aStep.of == layer::kFailover && aStep.alternative != 0);
  return rare ? 2 : kLaterOccurrence;
}

plan
Cell(fault aFault, std::size_t aStep, unsigned aOccurrence)
{
  plan made;
  made.injections = { { aFault, aStep, aOccurrence } };
  made.failover = NeedsFailover(Steps()[aStep]);
  return made;
}

injection
Draw(std::mt19937_64& aChance)
{
  injection drawn;
  drawn.what = static_cast<fault>(aChance() % kFaults);
  drawn.step = aChance() % Steps().size();
  const auto& step = Steps()[drawn.step];
  drawn.occurrence =
    1 + static_cast<unsigned>(aChance() % (2ULL * LaterOccurrence(step)));
  return drawn;
}

/// Injects the same fault at the first occurrences of one step.
std::vector<injection>
Series(fault aFault, std::size_t aStep, unsigned aCount)
{
  std::vector<injection> series;
  for (unsigned occurrence = 1; occurrence <= aCount; ++occurrence) {
    series.push_back({ aFault, aStep, occurrence });
  }
  return series;
}

} // namespace

std::vector<plan>
SingleCells()
{
  std::vector<plan> cells;
  for (std::size_t at = 0; at < Steps().size(); ++at) {
    for (std::size_t what = 0; what < kFaults; ++what) {
      const auto struck = static_cast<fault>(what);
      cells.push_back(Cell(struck, at, 1));
      cells.push_back(Cell(struck, at, LaterOccurrence(Steps()[at])));
    }
  }
  return cells;
}

std::vector<plan>
DoubleCells()
{
  std::vector<plan> cells;
  for (std::size_t at = 0; at < Steps().size(); ++at) {
    for (std::size_t what = 0; what < kFaults; ++what) {
      auto cell = Cell(static_cast<fault>(what), at, 2);
      auto again = cell.injections.front();
      again.occurrence += LaterOccurrence(Steps()[at]) == 2 ? 1 : kRepeat;
      cell.injections.push_back(again);
      cells.push_back(cell);
    }
  }
  return cells;
}

std::vector<plan>
PairCells(std::uint64_t aFirstSeed, std::uint64_t aCount)
{
  std::vector<plan> cells;
  for (std::uint64_t seed = aFirstSeed; seed < aFirstSeed + aCount; ++seed) {
    std::mt19937_64 chance(seed);
    plan made;
    made.seed = seed;
    made.injections = { Draw(chance), Draw(chance) };
    made.failover = chance() % 2 == 0;
    cells.push_back(made);
  }
  return cells;
}

const std::vector<bug_search>&
BugSearches()
{
  using f = fault;
  using p = invariant;
  using v = seeded_bug;
  static const std::vector<bug_search> kBugSearches{
    { v::kFloorDropped, p::kReadYourWrites, { f::kReplicaBehind } },
    { v::kBoundRaised, p::kBoundedStaleness, { f::kReplicaBehind } },
    { v::kConfirmationUnasked,
      p::kNothingLost,
      { f::kPrimaryPartitioned, f::kReplicasBehind } },
    { v::kValidityEndless,
      p::kNoReplacedPrimary,
      { f::kGatewayPaused, f::kPoolerPaused },
      true },
    { v::kAnswersDatedLate, p::kBoundedStaleness, { f::kPoolerPaused }, true },
    { v::kNoValidityWait,
      p::kNoReplacedPrimary,
      { f::kPrimaryLeaves },
      false,
      Series(f::kMessageSlow,
             StepOf(layer::kGateway, 0, moment::kAnswered),
             kEveryAnswer) },
    { v::kFenceForged,
      p::kNothingLost,
      { f::kReplicaLags },
      true,
      // Drops the fence requests to the old primary and to the most advanced
      // replica.
      { { f::kMessageLost, StepOf(layer::kFailover, 1, moment::kAsked), 1 },
        { f::kMessageLost, StepOf(layer::kFailover, 1, moment::kAsked), 3 } } },
    { v::kResentWithoutKey,
      p::kNothingDoubled,
      { f::kMessageLost, f::kPoolerDies } },
    { v::kUnknownToldNotRun,
      p::kTrueNotRun,
      { f::kReplicasBehind, f::kPrimaryPartitioned } },
    { v::kConnectionShared, p::kNothingMixed, { f::kMessageLate } },
    { v::kPartialAnswerAccepted, p::kWholeAnswers, { f::kMessageLost } },
    { v::kAnswersSwapped, p::kWholeAnswers, { f::kMessageLate } },
    { v::kLeavingHidden, p::kLeavingLeftAlone, { f::kReplicaLeaves } },
    { v::kStopsAtOnce,
      p::kNothingCutAtStop,
      { f::kGatewayStops, f::kPoolerStops } },
    { v::kConfigurationLastSeen, p::kConfigurationKept, { f::kStoreSlow } },
  };
  return kBugSearches;
}

std::vector<plan>
CellsFor(const bug_search& aSearch)
{
  std::vector<plan> cells;
  for (unsigned seed = 1; cells.size() < kMostSearched; ++seed) {
    for (std::size_t at = 0; at < Steps().size(); ++at) {
      for (const auto what : aSearch.faults) {
        auto cell = Cell(what, at, LaterOccurrence(Steps()[at]) / 2 + 1);
        cell.seed = seed;
        cell.broken = aSearch.broken;
        cell.injections.insert(cell.injections.end(),
                               aSearch.additional.begin(),
                               aSearch.additional.end());
        cell.failover = cell.failover || aSearch.failover;
        cells.push_back(cell);
      }
    }
  }
  return cells;
}

} // namespace currantshed::matrix
