#include "currantshed/failover/coordinator.hpp"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include <absl/strings/str_cat.h>

#include "currantshed/failover/cluster_simulation.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using currantshed::failover::test::cluster_simulation;
using std::chrono::milliseconds;

constexpr milliseconds kFaultsEnd{ 12000 };
constexpr milliseconds kEnd{ 24000 };

// Fault number aKind of a random schedule, at a random server and pooler.
void
AddFault(cluster_simulation& aWorld,
         std::mt19937_64& aChance,
         milliseconds aTime)
{
  const auto server = "s" + std::to_string(aChance() % 3);
  const auto pooler = static_cast<unsigned>(aChance() % 3);
  const auto poolerName = "p" + std::to_string(pooler);
  const milliseconds lasting{ 100 + aChance() % 3000 };
  const auto end = std::min(aTime + lasting, kFaultsEnd);
  constexpr unsigned kKinds = 8;
  switch (aChance() % kKinds) {
    case 0:
      aWorld.At(aTime, [&aWorld, server] {
        aWorld.Servers().At(server).alive = false;
      });
      aWorld.At(
        end, [&aWorld, server] { aWorld.Servers().At(server).alive = true; });
      break;
    case 1:
      aWorld.At(aTime, [&aWorld, server] { aWorld.Isolate(server, true); });
      aWorld.At(end, [&aWorld, server] { aWorld.Isolate(server, false); });
      break;
    case 2:
      aWorld.At(aTime,
                [&aWorld, poolerName] { aWorld.Isolate(poolerName, true); });
      aWorld.At(end,
                [&aWorld, poolerName] { aWorld.Isolate(poolerName, false); });
      break;
    case 3:
      aWorld.At(aTime, [&aWorld, pooler, lasting] {
        aWorld.PausePooler(pooler, lasting);
      });
      break;
    case 4:
      aWorld.At(aTime, [&aWorld] { aWorld.Store().down = true; });
      aWorld.At(end, [&aWorld] { aWorld.Store().down = false; });
      break;
    case 5:
      aWorld.At(aTime, [&aWorld] { aWorld.Store().losesAnswers = true; });
      aWorld.At(end, [&aWorld] { aWorld.Store().losesAnswers = false; });
      break;
    case 6:
      aWorld.At(aTime, [&aWorld, server] {
        aWorld.Servers().At(server).lagging = true;
      });
      aWorld.At(end, [&aWorld, server] {
        aWorld.Servers().At(server).lagging = false;
      });
      break;
    default:
      aWorld.At(aTime, [&aWorld, server, poolerName] {
        aWorld.Servers().Cut(server, poolerName);
      });
      aWorld.At(end, [&aWorld, server, poolerName] {
        aWorld.Servers().Heal(server, poolerName);
      });
      break;
  }
}

} // namespace

TEST_GROUP(fault_schedules){};

// Many faults together and one after another, by seed. A longer run takes its
// count from CURRANTSHED_TEST_RUNS.
TEST(fault_schedules, end_well)
{
  constexpr std::uint64_t kRuns = 60;
  constexpr int kFaults = 12;
  const auto* asked = std::getenv("CURRANTSHED_TEST_RUNS");
  const auto runs =
    asked == nullptr ? kRuns : std::strtoull(asked, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    std::mt19937_64 chance(seed);
    const auto loss = static_cast<unsigned>(chance() % 200);
    cluster_simulation subject({ 3, 3, loss, loss, seed });
    for (int fault = 0; fault < kFaults; ++fault) {
      AddFault(subject, chance, milliseconds{ 2000 + chance() % 9000 });
    }
    subject.At(kFaultsEnd, [&] {
      subject.EndLosses();
      subject.Servers().HealAll();
    });
    subject.Run(kEnd);
    subject.CheckSettled();
    for (const auto& violation : subject.Violations()) {
      CHECK_TEXT(false, absl::StrCat("seed ", seed, ": ", violation).c_str());
    }
    const auto last = subject.ConfirmedAfter(kEnd - milliseconds{ 500 });
    CHECK_TEXT(last.has_value(), absl::StrCat("seed ", seed).c_str());
  }
}
