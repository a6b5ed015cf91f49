#include <functional>
#include <string>

#include "test/currantshed/proxy/load_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using namespace std::chrono_literals;
using test::load_shape;
using test::load_simulation;

namespace {

constexpr std::uint32_t kSeed = 7;
constexpr auto kBefore = 3000ms;
constexpr auto kAfter = 6000ms;

struct load_row
{
  const char* name;
  load_shape shape;
  /// The trouble, and its end.
  std::function<void(load_simulation&)> begin;
  std::function<void(load_simulation&)> end;
  std::chrono::seconds lasts;
  /// The least part of what is asked during the trouble that must be answered
  /// in time. Where the servers can't do all, it is close to what they can.
  double inTime;
  /// The least part of the refusals that must come within a quarter of the
  /// target.
  double prompt;
  /// The most that may get no result at all.
  double lost = 1.0;
};

void
Nothing(load_simulation& /*aSimulation*/)
{
}

std::function<void(load_simulation&)>
Load(double aFactor)
{
  return
    [aFactor](load_simulation& aSimulation) { aSimulation.factor = aFactor; };
}

std::function<void(load_simulation&)>
Slow(std::size_t aServer, double aSlow)
{
  return [=](load_simulation& aSimulation) {
    aSimulation.Server(aServer).slow = aSlow;
  };
}

std::function<void(load_simulation&)>
BothReplicasBehind(std::chrono::milliseconds aLag)
{
  return [aLag](load_simulation& aSimulation) {
    aSimulation.Server(1).lag = aLag;
    aSimulation.Server(2).lag = aLag;
  };
}

std::function<void(load_simulation&)>
MaxWaiting(unsigned aMost)
{
  return [aMost](load_simulation& aSimulation) {
    aSimulation.Server(2).maxWaiting = aMost;
  };
}

std::function<void(load_simulation&)>
Confirmations(bool aAre)
{
  return
    [aAre](load_simulation& aSimulation) { aSimulation.confirmations = aAre; };
}

// Three servers with three slots each: 5.8 slots' worth of work a second, so
// that 0.78 of twice the load can be done and 0.39 of four times it.
const load_shape kBusy{ .writes = 60, .reads = 300 };
const load_shape kBusyShared{ .vms = 40,
                              .maxConnections = 24,
                              .writes = 60,
                              .reads = 300 };
const load_shape kShared{ .vms = 40, .maxConnections = 24 };
// 3.1 slots' worth for the primary's three.
const load_shape kForOneServer{ .writes = 60, .reads = 150 };

const load_row kRows[] = {
  { "calm", {}, Nothing, Nothing, 5s, 0.99, 0 },
  { "calm, through holders", kShared, Nothing, Nothing, 5s, 0.99, 0 },
  { "both replicas 14 s behind",
    kForOneServer,
    BothReplicasBehind(14s),
    BothReplicasBehind(0s),
    25s,
    0.90,
    0.85 },
  { "twice the load", kBusy, Load(2), Load(1), 6s, 0.70, 0.85 },
  { "twice the load, through holders",
    kBusyShared,
    Load(2),
    Load(1),
    6s,
    0.70,
    0.85 },
  { "four times the load", kBusy, Load(4), Load(1), 6s, 0.35, 0.80 },
  { "four times the load, through holders",
    kBusyShared,
    Load(4),
    Load(1),
    6s,
    0.30,
    0.80 },
  { "one of three slow by 8", {}, Slow(1, 8), Slow(1, 1), 6s, 0.98, 0 },
  { "the primary slow by 8, through holders",
    kShared,
    Slow(0, 8),
    Slow(0, 1),
    6s,
    0.95,
    0 },
  { "a server that turns away what can't run at once",
    {},
    MaxWaiting(0),
    MaxWaiting(24),
    6s,
    0.99,
    0 },
  { "no proof for two seconds",
    {},
    Confirmations(false),
    Confirmations(true),
    2s,
    0.80,
    0,
    0.05 },
};

std::string
FormatShare(const char* aName, const char* aWhat, double aShare)
{
  return std::string(aName) + ", " + aWhat + ": " + std::to_string(aShare);
}

} // namespace

TEST_GROUP(engine_overload){};

TEST(engine_overload, serves_up_to_capacity_and_recovers_at_once)
{
  constexpr double kRecovered = 0.97;
  // For each try of a caller: the budget's tenth, and its store.
  constexpr double kMostElsewhere = 0.13;
  for (const auto& row : kRows) {
    load_simulation simulation(row.shape, kSeed);
    simulation.Run(kBefore);
    row.begin(simulation);
    simulation.Run(row.lasts);
    row.end(simulation);
    simulation.Run(kAfter);
    const auto from = static_cast<std::size_t>(kBefore / 1s);
    const auto to = from + static_cast<std::size_t>(row.lasts.count());
    const auto during = simulation.Between(from + 1, to);
    const double inTime = 1.0 * during.inTime / during.asked;
    CHECK_TEXT(inTime >= row.inTime,
               FormatShare(row.name, "in time", inTime).c_str());
    const double prompt = during.refusals == 0
                            ? 1.0
                            : 1.0 * during.promptRefusals / during.refusals;
    CHECK_TEXT(prompt >= row.prompt,
               FormatShare(row.name, "prompt", prompt).c_str());
    const auto after = simulation.Between(to + 2, to + 5);
    const double recovered = 1.0 * after.inTime / after.asked;
    CHECK_TEXT(recovered >= kRecovered,
               FormatShare(row.name, "after", recovered).c_str());
    const double turnedAway = 1.0 *
                              static_cast<double>(simulation.TurnedAway()) /
                              static_cast<double>(simulation.Taken());
    CHECK_TEXT(
      turnedAway < 0.03,
      FormatShare(row.name, "turned away by servers", turnedAway).c_str());
    const auto all = simulation.Between(0, to + 6);
    const double elsewhere = 1.0 *
                             static_cast<double>(simulation.SentElsewhere()) /
                             (all.asked + all.refusals);
    CHECK_TEXT(elsewhere < kMostElsewhere,
               FormatShare(row.name, "sent elsewhere", elsewhere).c_str());
  }
}
