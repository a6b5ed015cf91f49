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

// Adds a random fault at a random server and pooler.
void
AddFault(cluster_simulation& aSimulation,
         std::mt19937_64& aGenerator,
         milliseconds aTime)
{
  const auto server = "s" + std::to_string(aGenerator() % 3);
  const auto pooler = static_cast<unsigned>(aGenerator() % 3);
  const auto poolerName = "p" + std::to_string(pooler);
  const milliseconds lasting{ 100 + aGenerator() % 3000 };
  const auto end = std::min(aTime + lasting, kFaultsEnd);
  constexpr unsigned kKinds = 8;
  switch (aGenerator() % kKinds) {
    case 0:
      aSimulation.At(aTime, [&aSimulation, server] {
        aSimulation.Servers().At(server).alive = false;
      });
      aSimulation.At(end, [&aSimulation, server] {
        aSimulation.Servers().At(server).alive = true;
      });
      break;
    case 1:
      aSimulation.At(
        aTime, [&aSimulation, server] { aSimulation.Isolate(server, true); });
      aSimulation.At(
        end, [&aSimulation, server] { aSimulation.Isolate(server, false); });
      break;
    case 2:
      aSimulation.At(aTime, [&aSimulation, poolerName] {
        aSimulation.Isolate(poolerName, true);
      });
      aSimulation.At(end, [&aSimulation, poolerName] {
        aSimulation.Isolate(poolerName, false);
      });
      break;
    case 3:
      aSimulation.At(aTime, [&aSimulation, pooler, lasting] {
        aSimulation.PausePooler(pooler, lasting);
      });
      break;
    case 4:
      aSimulation.At(aTime,
                     [&aSimulation] { aSimulation.Store().down = true; });
      aSimulation.At(end, [&aSimulation] { aSimulation.Store().down = false; });
      break;
    case 5:
      aSimulation.At(
        aTime, [&aSimulation] { aSimulation.Store().losesAnswers = true; });
      aSimulation.At(
        end, [&aSimulation] { aSimulation.Store().losesAnswers = false; });
      break;
    case 6:
      aSimulation.At(aTime, [&aSimulation, server] {
        aSimulation.Servers().At(server).lagging = true;
      });
      aSimulation.At(end, [&aSimulation, server] {
        aSimulation.Servers().At(server).lagging = false;
      });
      break;
    default:
      aSimulation.At(aTime, [&aSimulation, server, poolerName] {
        aSimulation.Servers().Cut(server, poolerName);
      });
      aSimulation.At(end, [&aSimulation, server, poolerName] {
        aSimulation.Servers().Heal(server, poolerName);
      });
      break;
  }
}

} // namespace

TEST_GROUP(fault_schedules){};

// Concurrent and consecutive faults, by seed. The environment variable
// CURRANTSHED_TEST_RUNS sets the number of runs for a longer test.
TEST(fault_schedules, end_in_a_consistent_state)
{
  constexpr std::uint64_t kRuns = 60;
  constexpr int kFaults = 12;
  const auto* asked = std::getenv("CURRANTSHED_TEST_RUNS");
  const auto runs =
    asked == nullptr ? kRuns : std::strtoull(asked, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    std::mt19937_64 generator(seed);
    const auto loss = static_cast<unsigned>(generator() % 200);
    cluster_simulation subject({ 3, 3, loss, loss, seed });
    for (int fault = 0; fault < kFaults; ++fault) {
      AddFault(subject, generator, milliseconds{ 2000 + generator() % 9000 });
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
