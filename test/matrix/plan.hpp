#ifndef CURRANTSHED_TEST_MATRIX_PLAN_HPP
#define CURRANTSHED_TEST_MATRIX_PLAN_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantshed::matrix {

/// Faults that can be injected.
enum class fault
{
  kPrimaryPartitioned,
  kPrimaryIsolated,
  kPrimaryDies,
  kPrimaryFrozen,
  kReplicaBehind,
  kReplicaLags,
  kReplicasBehind,
  kReplicaDies,
  kPoolerDies,
  kPoolerPaused,
  kPoolerPausedBriefly,
  kPoolerCutOff,
  kGatewayDies,
  kGatewayPaused,
  kStoreDown,
  kStoreSlow,
  kStoreAnswersLost,
  kOperatorsRace,
  kMessageSlow,
  kMessageLate,
  kMessageLost,
  kMessageTwice,
  kMessageOvertaken,
  kReplicaLeaves,
  kPrimaryLeaves,
  kGatewayStops,
  kPoolerStops,
};
constexpr std::size_t kFaults = 27;

/// Rules that can be disabled (seeded bugs), to show that the checker detects
/// their violation.
enum class seeded_bug
{
  kNone,
  kFloorDropped,
  kBoundRaised,
  kConfirmationUnasked,
  kValidityEndless,
  kAnswersDatedLate,
  kNoValidityWait,
  kFenceForged,
  kResentWithoutKey,
  kUnknownToldNotRun,
  kConnectionShared,
  kPartialAnswerAccepted,
  kAnswersSwapped,
  kLeavingHidden,
  kStopsAtOnce,
  kConfigurationLastSeen,
};
constexpr std::size_t kSeededBugs = 16;

[[nodiscard]] std::string_view
Name(fault aFault);

[[nodiscard]] std::string_view
Name(seeded_bug aBug);

/// One fault, injected the n-th time that a step is reached, counted from one.
struct injection
{
  fault what = fault::kPrimaryPartitioned;
  std::size_t step = 0;
  unsigned occurrence = 1;
};

/// One run: the faults to inject, and the seed of the random choices.
struct plan
{
  std::vector<injection> injections;
  /// Whether a primary is partitioned off in addition, so that the steps of a
  /// failover are reached.
  bool failover = false;
  std::uint64_t seed = 1;
  seeded_bug broken = seeded_bug::kNone;
};

/// Formats the plan as one line for reports.
[[nodiscard]] std::string
Print(const plan& aPlan);

} // namespace currantshed::matrix

#endif
