#include "currantshed/failover/coordinator.hpp"

#include <string>

#include <absl/strings/str_cat.h>

#include "currantshed/failover/cluster_simulation.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using currantshed::failover::test::cluster_simulation;
using currantshed::failover::test::simulation_settings;
using std::chrono::milliseconds;

constexpr milliseconds kFault{ 3000 };
constexpr milliseconds kRepair{ 6500 };
constexpr milliseconds kEnd{ 14000 };
constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 5, 8, 13, 21, 34, 55, 89 };
constexpr std::size_t kAny = 1000;

using fault = void (*)(cluster_simulation&);

struct fault_row
{
  const char* name;
  simulation_settings settings;
  fault given;
  std::size_t minPromotions;
  std::size_t maxPromotions;
  // Maximum time from the fault to the next confirmed change; zero for no
  // limit.
  milliseconds gap;
};

void
Nothing(cluster_simulation& /*aSimulation*/)
{
}

void
KillPrimary(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Servers().At("s0").alive = false; });
}

void
CutPrimary(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Isolate("s0", true); });
  aSimulation.At(kRepair, [&] { aSimulation.Isolate("s0", false); });
}

// The poolers still reach the primary, but its replicas do not.
void
CutPrimaryFromReplicas(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] {
    aSimulation.Servers().Cut("s0", "s1");
    aSimulation.Servers().Cut("s0", "s2");
  });
  aSimulation.At(kRepair, [&] { aSimulation.Servers().HealAll(); });
}

// The replicas still hear from the primary, but two poolers do not.
void
CutPrimaryFromPoolers(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] {
    aSimulation.Servers().Cut("s0", "p0");
    aSimulation.Servers().Cut("s0", "p1");
  });
  aSimulation.At(kRepair, [&] { aSimulation.Servers().HealAll(); });
}

void
CutPooler(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Isolate("p0", true); });
  aSimulation.At(kRepair, [&] { aSimulation.Isolate("p0", false); });
}

// Cut off from the primary only; it still reaches the replicas and its peers.
void
CutPoolerFromPrimary(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Servers().Cut("p0", "s0"); });
  aSimulation.At(kRepair, [&] { aSimulation.Servers().HealAll(); });
}

void
PauseEveryPooler(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] {
    for (unsigned pooler = 0; pooler < 3; ++pooler) {
      aSimulation.PausePooler(pooler, milliseconds{ 2000 + pooler });
    }
  });
}

void
KillPrimaryStoreDown(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault - milliseconds{ 500 },
                 [&] { aSimulation.Store().down = true; });
  KillPrimary(aSimulation);
  aSimulation.At(kRepair, [&] { aSimulation.Store().down = false; });
}

// No term was ever reserved, so the failover waits for the store.
void
KillPrimaryStoreNeverUp(cluster_simulation& aSimulation)
{
  aSimulation.Store().down = true;
  KillPrimary(aSimulation);
  aSimulation.At(kRepair, [&] { aSimulation.Store().down = false; });
}

void
KillPrimaryAnswersLost(cluster_simulation& aSimulation)
{
  aSimulation.Store().losesAnswers = true;
  KillPrimary(aSimulation);
  aSimulation.At(kRepair, [&] { aSimulation.Store().losesAnswers = false; });
}

// The next primary dies right after its promotion; the first one is back.
void
KillTwoPrimaries(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Servers().At("s0").alive = false; });
  aSimulation.At(kFault + milliseconds{ 800 }, [&] {
    aSimulation.Servers().At("s0").alive = true;
    for (const auto* id : { "s1", "s2" }) {
      auto& server = aSimulation.Servers().At(id);
      server.alive =
        server.role != currantshed::upstream::server_role::kPrimary;
    }
  });
}

void
KillPrimaryAndPooler(cluster_simulation& aSimulation)
{
  KillPrimary(aSimulation);
  aSimulation.At(kFault, [&] { aSimulation.KillPooler(0); });
}

void
LagThenKill(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault - milliseconds{ 1000 },
                 [&] { aSimulation.Servers().At("s1").lagging = true; });
  KillPrimary(aSimulation);
  aSimulation.At(kRepair,
                 [&] { aSimulation.Servers().At("s1").lagging = false; });
}

void
MarkPrimaryLeaving(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.SetLeaving("s0"); });
}

// A fence at one server only, whose promoter has stopped.
void
FenceWithoutPromoter(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] { aSimulation.Servers().At("s2").Fence(50); });
}

void
FenceEverywhere(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] {
    for (auto& [id, server] : aSimulation.Servers().All()) {
      server.Fence(50);
    }
  });
}

void
ReplicasForget(cluster_simulation& aSimulation)
{
  aSimulation.At(kFault, [&] {
    aSimulation.Servers().At("s1").follows.reset();
    aSimulation.Servers().At("s2").follows.reset();
  });
}

constexpr milliseconds kGap{ 700 };

const fault_row kFaultRows[] = {
  { "nothing fails", {}, Nothing, 0, 0, {} },
  { "lossy links depose nobody", { 3, 3, 150 }, Nothing, 0, 0, {} },
  { "primary dies", {}, KillPrimary, 1, 1, kGap },
  { "primary of five dies", { 3, 5 }, KillPrimary, 1, 1, kGap },
  { "primary is cut off and reconnected", {}, CutPrimary, 1, 1, kGap },
  { "primary loses its replicas", {}, CutPrimaryFromReplicas, 1, 1, kGap },
  { "two poolers lose the primary", {}, CutPrimaryFromPoolers, 1, 1, {} },
  { "a cut-off pooler deposes nobody", {}, CutPooler, 0, 0, {} },
  { "a pooler without the primary deposes nobody",
    {},
    CutPoolerFromPrimary,
    0,
    0,
    {} },
  { "poolers that resume depose nobody", {}, PauseEveryPooler, 0, 0, {} },
  { "store is down, terms are reserved", {}, KillPrimaryStoreDown, 1, 1, kGap },
  { "store was never up", {}, KillPrimaryStoreNeverUp, 1, 1, {} },
  { "store loses its responses", {}, KillPrimaryAnswersLost, 1, 1, {} },
  { "two primaries die", {}, KillTwoPrimaries, 2, 2, {} },
  { "two primaries die with one pooler", { 1 }, KillTwoPrimaries, 2, 2, {} },
  { "first pooler dies too",
    {},
    KillPrimaryAndPooler,
    1,
    1,
    milliseconds{ 900 } },
  { "a lagging replica is not chosen", {}, LagThenKill, 1, 1, {} },
  { "primary is marked as leaving", {}, MarkPrimaryLeaving, 1, 1, {} },
  { "a fence without a promoter is repaired",
    {},
    FenceWithoutPromoter,
    1,
    1,
    {} },
  { "everything is fenced", {}, FenceEverywhere, 1, 1, {} },
  { "replicas lose the primary to follow", {}, ReplicasForget, 0, 0, {} },
  { "two concurrent promoters",
    { 2, 3, 0, 0, 1, true },
    KillPrimary,
    1,
    kAny,
    {} },
  { "three concurrent promoters",
    { 3, 3, 0, 0, 1, true },
    KillPrimary,
    1,
    kAny,
    {} },
  { "three concurrent promoters with message losses",
    { 3, 3, 300, 0, 1, true },
    KillPrimary,
    1,
    kAny,
    {} },
  { "message losses and a cut-off primary",
    { 3, 3, 200 },
    CutPrimary,
    1,
    kAny,
    {} },
  { "message losses and a store that is down",
    { 3, 3, 200 },
    KillPrimaryStoreDown,
    1,
    kAny,
    {} },
  { "repeated messages and a dead primary",
    { 3, 3, 0, 300 },
    KillPrimary,
    1,
    1,
    kGap },
  { "repeated and lost messages and a cut-off primary",
    { 3, 3, 150, 300 },
    CutPrimary,
    1,
    kAny,
    {} },
  { "repeated messages with three concurrent promoters",
    { 3, 3, 150, 300, 1, true },
    KillTwoPrimaries,
    1,
    kAny,
    {} },
  { "one pooler with message losses", { 1, 3, 300 }, KillPrimary, 1, kAny, {} },
  { "message losses and two failures",
    { 3, 3, 200 },
    KillTwoPrimaries,
    1,
    kAny,
    {} },
};

constexpr milliseconds kStop{ 3000 };

struct stop_row
{
  const char* name;
  // Stops the first pooler now and, if it is to return, until the given time.
  void (*given)(cluster_simulation&, milliseconds);
};

const stop_row kStopRows[] = {
  { "dies",
    [](cluster_simulation& aSimulation, milliseconds) {
      aSimulation.KillPooler(0);
    } },
  { "pauses",
    [](cluster_simulation& aSimulation, milliseconds aUntil) {
      aSimulation.PausePooler(0, aUntil - aSimulation.Now());
    } },
  { "is cut off",
    [](cluster_simulation& aSimulation, milliseconds aUntil) {
      aSimulation.Isolate("p0", true);
      aSimulation.At(aUntil,
                     [&aSimulation] { aSimulation.Isolate("p0", false); });
    } },
};

void
CheckSimulation(cluster_simulation& aSimulation, const std::string& aName)
{
  aSimulation.At(kRepair, [&] { aSimulation.EndLosses(); });
  aSimulation.Run(kEnd);
  aSimulation.CheckSettled();
  for (const auto& violation : aSimulation.Violations()) {
    CHECK_TEXT(false, absl::StrCat(aName, ": ", violation).c_str());
  }
  CHECK_TEXT(aSimulation.Confirmed() > 100, aName.c_str());
  CHECK_TEXT(
    aSimulation.ConfirmedAfter(kEnd - milliseconds{ 1000 }).has_value(),
    absl::StrCat(aName, ": none confirmed at the end").c_str());
}

} // namespace

TEST_GROUP(coordinator){};

TEST(coordinator, faults)
{
  for (const auto& row : kFaultRows) {
    for (const auto seed : kSeeds) {
      auto settings = row.settings;
      settings.seed = seed;
      cluster_simulation subject(settings);
      row.given(subject);
      const auto name = absl::StrCat(row.name, ", seed ", seed);
      CheckSimulation(subject, name);
      CHECK_TEXT(subject.Promotions() >= row.minPromotions, name.c_str());
      CHECK_TEXT(subject.Promotions() <= row.maxPromotions, name.c_str());
      if (row.gap > milliseconds{}) {
        const auto after = subject.ConfirmedAfter(kFault);
        CHECK_TEXT(after && *after - kFault <= row.gap, name.c_str());
      }
    }
  }
}

// The first pooler stops at every moment of its failover, permanently or for a
// while. The others complete the failover, and a pooler that returns deposes
// nobody.
TEST(coordinator, promoter_stops_at_every_moment)
{
  for (int after = 200; after <= 700; after += 5) {
    for (const auto& row : kStopRows) {
      cluster_simulation subject(
        { 3, 3, 0, 0, static_cast<std::uint64_t>(after) });
      KillPrimary(subject);
      // Returns at many moments of its own retries as well.
      const auto back =
        kFault + kStop + milliseconds{ after + after * 13 % 450 };
      subject.At(kFault + milliseconds{ after },
                 [&] { row.given(subject, back); });
      std::size_t settled = 0;
      subject.At(back, [&] { settled = subject.Promotions(); });
      subject.At(kRepair, [&] { subject.Servers().At("s0").alive = true; });
      CheckSimulation(subject, absl::StrCat(row.name, " after ", after));
      const auto name = absl::StrCat(row.name, " after ", after);
      UNSIGNED_LONGS_EQUAL_TEXT(settled, subject.Promotions(), name.c_str());
    }
  }
}

// The primary soon moves away from servers marked as leaving, also when the
// second one is marked right after the first move and when the remaining ones
// are no majority.
TEST(coordinator, servers_leave)
{
  struct row
  {
    const char* name;
    milliseconds between;
  };
  const row rows[] = {
    { "both at once", milliseconds{ 0 } },
    { "the second during the first move", milliseconds{ 300 } },
    { "the second after the first move", milliseconds{ 2000 } },
  };
  for (const auto& row : rows) {
    for (const auto seed : kSeeds) {
      simulation_settings settings;
      settings.seed = seed;
      cluster_simulation subject(settings);
      MarkPrimaryLeaving(subject);
      subject.At(kFault + row.between, [&] { subject.SetLeaving("s1"); });
      subject.Run(kFault + row.between + milliseconds{ 3000 });
      const auto role = subject.Servers().At("s2").role;
      CHECK_TEXT(role == currantshed::upstream::server_role::kPrimary,
                 absl::StrCat(row.name, ", seed ", seed).c_str());
    }
  }
}
