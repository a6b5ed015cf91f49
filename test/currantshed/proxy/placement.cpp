// Which server a read goes to while one server fails or lags, in a fleet that
// reaches the servers through connection holders. Guards against a server that
// answers its failures fast and so stays the first choice of each VM, and
// against each VM learning alone, by its own failures, what a holder knows.
#include <functional>
#include <string>

#include "test/currantshed/proxy/load_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::load_shape;
using test::load_simulation;

namespace {

constexpr std::uint32_t kSeed = 11;
constexpr auto kBefore = 5000ms;
constexpr auto kStep = 700ms;

struct failure_row
{
  const char* name;
  load_shape shape;
  /// Called at the start and then at each step.
  std::function<void(load_simulation&, unsigned)> step;
  unsigned steps;
  /// Maximum number of attempts that failed, whether they went to another
  /// server or back to the caller.
  std::uint64_t failed;
  /// Minimum fraction of requests answered in time.
  double inTime;
};

void
Shed(load_simulation& aSimulation, unsigned /*aStep*/)
{
  aSimulation.Server(1).shedFraction = 0.45;
  aSimulation.Server(1).slowdown = 0.5;
}

void
Crash(load_simulation& aSimulation, unsigned aStep)
{
  if (aStep == 0) {
    aSimulation.Server(1).Crash();
  }
}

// Up for one step and down for the next.
void
Flap(load_simulation& aSimulation, unsigned aStep)
{
  if (aStep % 2 == 0) {
    aSimulation.Server(1).Crash();
  } else {
    aSimulation.Server(1).Restart();
  }
}

// Only the VMs of one failure domain, and so one of the holders, can't reach
// the primary: the others are to go on serving what only it can run.
void
CutOffOneDomain(load_simulation& aSimulation, unsigned aStep)
{
  constexpr std::size_t kDomains = 3;
  if (aStep == 0) {
    aSimulation.Server(0).CutOff(
      [](std::size_t aVm) { return aVm % kDomains == 0; });
  }
}

// Each of the 48 VMs sends five statements a second, for five of nine slots.
const load_shape kFleet{ .vms = 48,
                         .maxConnections = 24,
                         .writes = 30,
                         .reads = 230,
                         .vmsWithAttributes = 48 };
const failure_row kRows[] = {
  { "a replica sheds 45 % and is fast", kFleet, Shed, 10, 200, 0.99 },
  { "a replica has crashed", kFleet, Crash, 8, 160, 0.99 },
  { "a replica goes down and up each 1.4 s", kFleet, Flap, 20, 260, 0.99 },
  { "one path to the primary is broken",
    kFleet,
    CutOffOneDomain,
    8,
    120,
    0.99 },
};

struct lag_row
{
  const char* name;
  double writes;
  double reads;
  /// Minimum fractions answered in time while both replicas lag, of the
  /// requests that only the primary can run and of all.
  double writesInTime;
  double inTime;
};

// The primary's three slots have work for 2.9, 3.1, 3.3 and 3.6.
const lag_row kLagRows[] = {
  { "nearly all that the primary can do", 30, 150, 0.95, 0.95 },
  { "a little more", 60, 150, 0.88, 0.88 },
  { "more", 100, 150, 0.80, 0.78 },
  { "a fifth too much", 150, 150, 0.80, 0.69 },
};

} // namespace

TEST_GROUP(placement){};

TEST(placement, reads_leave_a_failing_server)
{
  for (const auto& row : kRows) {
    load_simulation simulation(row.shape, kSeed);
    simulation.Run(kBefore);
    const auto before = simulation.RetriedElsewhere();
    for (unsigned i = 0; i < row.steps; ++i) {
      row.step(simulation, i);
      simulation.Run(kStep);
    }
    const auto retried = simulation.RetriedElsewhere() - before;
    simulation.Run(1000ms);
    const auto from = static_cast<std::size_t>(kBefore / 1s);
    const auto to = from + static_cast<std::size_t>(row.steps * kStep / 1s);
    const auto during = simulation.Between(from, to);
    const double inTime = 1.0 * during.inTime / during.requests;
    const auto failed = retried + during.refusals;
    const auto text = std::string(row.name) + ": failed " +
                      std::to_string(failed) + ", in time " +
                      std::to_string(inTime);
    CHECK_TEXT(failed <= row.failed, text.c_str());
    CHECK_TEXT(inTime >= row.inTime, text.c_str());
  }
}

// The replicas are 1.5 s behind for four seconds, and their reads all come to
// the primary, where they took the slots of what only it can run. The results
// are of several runs, since a few seconds have few writes.
TEST(placement, reads_leave_the_primary_to_writes_during_a_lag)
{
  constexpr double kRecovered = 0.97;
  for (const auto& row : kLagRows) {
    test::load_result during;
    test::load_result after;
    for (const std::uint32_t seed : { 1U, 2U, 3U, 4U }) {
      load_simulation simulation({ .vms = 48,
                                   .maxConnections = 24,
                                   .writes = row.writes,
                                   .reads = row.reads,
                                   .staleness = 1000ms,
                                   .vmsWithAttributes = 48 },
                                 seed);
      simulation.Run(5000ms);
      simulation.Server(1).lag = 1500ms;
      simulation.Server(2).lag = 1500ms;
      simulation.Run(4000ms);
      simulation.Server(1).lag = 0ms;
      simulation.Server(2).lag = 0ms;
      simulation.Run(5000ms);
      during += simulation.Between(5, 9);
      after += simulation.Between(10, 13);
    }
    const double writes = 1.0 * during.writesInTime / during.writes;
    const double all = 1.0 * during.inTime / during.requests;
    const double later = 1.0 * after.inTime / after.requests;
    const auto text = std::string(row.name) + ": writes in time " +
                      std::to_string(writes) + ", all " + std::to_string(all) +
                      ", afterwards " + std::to_string(later);
    CHECK_TEXT(writes >= row.writesInTime, text.c_str());
    CHECK_TEXT(all >= row.inTime, text.c_str());
    CHECK_TEXT(later >= kRecovered, text.c_str());
  }
}
