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
  /// Start and end of the disturbance.
  std::function<void(load_simulation&)> begin;
  std::function<void(load_simulation&)> end;
  std::chrono::seconds duration;
  /// Minimum fraction of the requests during the disturbance that must be
  /// answered in time. Where the servers' capacity is exceeded, it is close to
  /// what they can serve.
  double inTime;
  /// Minimum fraction of the rejections that must come within a quarter of the
  /// target.
  double prompt;
  /// Maximum fraction without any result.
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
SlowDown(std::size_t aServer, double aSlowdown)
{
  return [=](load_simulation& aSimulation) {
    aSimulation.Server(aServer).slowdown = aSlowdown;
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

// Three servers with three slots each and an offered load of 5.8 slots: at most
// 0.78 of twice the load can be served, and 0.39 of four times it.
const load_shape kBusy{ .writes = 60, .reads = 300 };
const load_shape kBusyShared{ .vms = 40,
                              .maxConnections = 24,
                              .writes = 60,
                              .reads = 300 };
const load_shape kShared{ .vms = 40, .maxConnections = 24 };
// An offered load of 3.1 slots for the primary's three.
const load_shape kForOneServer{ .writes = 60, .reads = 150 };

const load_row kRows[] = {
  { "calm", {}, Nothing, Nothing, 5s, 0.99, 0 },
  { "calm, through relays", kShared, Nothing, Nothing, 5s, 0.99, 0 },
  { "both replicas 14 s behind",
    kForOneServer,
    BothReplicasBehind(14s),
    BothReplicasBehind(0s),
    25s,
    0.90,
    0.85 },
  { "twice the load", kBusy, Load(2), Load(1), 6s, 0.70, 0.85 },
  { "twice the load, through relays",
    kBusyShared,
    Load(2),
    Load(1),
    6s,
    0.70,
    0.85 },
  { "four times the load", kBusy, Load(4), Load(1), 6s, 0.35, 0.80 },
  { "four times the load, through relays",
    kBusyShared,
    Load(4),
    Load(1),
    6s,
    0.30,
    0.80 },
  { "one of three servers slower by a factor of 8",
    {},
    SlowDown(1, 8),
    SlowDown(1, 1),
    6s,
    0.98,
    0 },
  { "the primary slower by a factor of 8, through relays",
    kShared,
    SlowDown(0, 8),
    SlowDown(0, 1),
    6s,
    0.95,
    0 },
  { "a server without a queue",
    {},
    MaxWaiting(0),
    MaxWaiting(24),
    6s,
    0.99,
    0 },
  { "no confirmation for two seconds",
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
  // Per attempt of a caller: a tenth by the retry budget, plus its burst.
  constexpr double kMaxRetried = 0.13;
  for (const auto& row : kRows) {
    load_simulation simulation(row.shape, kSeed);
    simulation.Run(kBefore);
    row.begin(simulation);
    simulation.Run(row.duration);
    row.end(simulation);
    simulation.Run(kAfter);
    const auto from = static_cast<std::size_t>(kBefore / 1s);
    const auto to = from + static_cast<std::size_t>(row.duration.count());
    const auto during = simulation.Between(from + 1, to);
    const double inTime = 1.0 * during.inTime / during.requests;
    CHECK_TEXT(inTime >= row.inTime,
               FormatShare(row.name, "in time", inTime).c_str());
    const double prompt = during.refusals == 0
                            ? 1.0
                            : 1.0 * during.promptRefusals / during.refusals;
    CHECK_TEXT(prompt >= row.prompt,
               FormatShare(row.name, "prompt", prompt).c_str());
    const auto after = simulation.Between(to + 2, to + 5);
    const double recovered = 1.0 * after.inTime / after.requests;
    CHECK_TEXT(recovered >= kRecovered,
               FormatShare(row.name, "after", recovered).c_str());
    const double rejected = 1.0 * static_cast<double>(simulation.Rejected()) /
                            static_cast<double>(simulation.Accepted());
    CHECK_TEXT(rejected < 0.03,
               FormatShare(row.name, "rejected by servers", rejected).c_str());
    const auto all = simulation.Between(0, to + 6);
    const double retried = 1.0 *
                           static_cast<double>(simulation.RetriedElsewhere()) /
                           (all.requests + all.refusals);
    CHECK_TEXT(
      retried < kMaxRetried,
      FormatShare(row.name, "retried on another server", retried).c_str());
  }
}
