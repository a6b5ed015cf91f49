#include "currantshed/member/membership.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "currantshed/member/peers.hpp"

#include <CppUTest/TestHarness.h>

namespace {

namespace member = currantshed::member;
namespace failover = currantshed::failover;
namespace store = currantshed::store;
using currantshed::clock::time_point;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 7;

store::vm
MakeVm(const std::string& aId, const std::string& aDomain)
{
  store::vm vm;
  vm.id = aId;
  vm.failureDomain = aDomain;
  return vm;
}

time_point
At(int aMilliseconds)
{
  return time_point{} + milliseconds{ aMilliseconds };
}

enum class event_kind
{
  kListed,
  kUnlisted,
  kBeat,
  kLeavingBeat,
  kUnconfirmed,
  kTick,
};

struct event_row
{
  int at;
  event_kind kind;
  const char* incarnation;
  std::uint64_t sequence;
};

struct live_row
{
  const char* name;
  std::vector<event_row> events;
  bool expectLive;
  bool expectLeaving;
};

const live_row kLiveRows[] = {
  { "listed and never heard, within grace",
    { { 0, event_kind::kListed }, { 2900, event_kind::kTick } },
    true,
    false },
  { "listed and never heard, past grace",
    { { 0, event_kind::kListed }, { 3100, event_kind::kTick } },
    false,
    false },
  { "listed again does not begin a new grace",
    { { 0, event_kind::kListed },
      { 2000, event_kind::kListed },
      { 3100, event_kind::kTick } },
    false,
    false },
  { "heard and not listed",
    { { 0, event_kind::kBeat, "i", 1 }, { 400, event_kind::kTick } },
    true,
    false },
  { "listed and silent",
    { { 0, event_kind::kListed },
      { 100, event_kind::kBeat, "i", 1 },
      { 700, event_kind::kTick } },
    false,
    false },
  { "silent, then heard again",
    { { 0, event_kind::kBeat, "i", 1 },
      { 700, event_kind::kTick },
      { 800, event_kind::kBeat, "i", 2 } },
    true,
    false },
  { "a replayed heartbeat does not revive",
    { { 0, event_kind::kBeat, "i", 5 },
      { 400, event_kind::kBeat, "i", 5 },
      { 600, event_kind::kTick } },
    false,
    false },
  { "a late heartbeat of an earlier incarnation does not revive",
    { { 0, event_kind::kBeat, "i", 5 },
      { 100, event_kind::kBeat, "j", 1 },
      { 500, event_kind::kBeat, "i", 6 },
      { 700, event_kind::kTick } },
    false,
    false },
  { "a new incarnation begins its sequence anew",
    { { 0, event_kind::kBeat, "i", 500 },
      { 400, event_kind::kBeat, "j", 1 },
      { 800, event_kind::kTick } },
    true,
    false },
  { "hearsay alone makes nobody live",
    { { 0, event_kind::kUnconfirmed }, { 10, event_kind::kTick } },
    false,
    false },
  { "hearsay, then heard",
    { { 0, event_kind::kUnconfirmed }, { 10, event_kind::kBeat, "i", 1 } },
    true,
    false },
  { "the sender's own word on leaving counts",
    { { 0, event_kind::kListed }, { 10, event_kind::kLeavingBeat, "i", 1 } },
    true,
    true },
  { "heard and dropped from the list while it lives",
    { { 0, event_kind::kListed },
      { 100, event_kind::kBeat, "i", 1 },
      { 200, event_kind::kUnlisted },
      { 300, event_kind::kTick } },
    true,
    false },
};

member::heartbeat
MakeBeat(const store::vm& aSender, const event_row& aRow)
{
  member::heartbeat beat;
  beat.sender = aSender;
  beat.sender.leaving = aRow.kind == event_kind::kLeavingBeat;
  beat.incarnation = aRow.incarnation;
  beat.sequence = aRow.sequence;
  return beat;
}

void
Apply(member::membership& aMembership, const event_row& aRow)
{
  const auto other = MakeVm("other", "y");
  switch (aRow.kind) {
    case event_kind::kListed:
      aMembership.Listed({ other }, At(aRow.at));
      break;
    case event_kind::kUnlisted:
      aMembership.Listed({}, At(aRow.at));
      break;
    case event_kind::kBeat:
    case event_kind::kLeavingBeat:
      aMembership.HeartbeatArrived(MakeBeat(other, aRow), At(aRow.at));
      break;
    case event_kind::kUnconfirmed: {
      auto beat = MakeBeat(MakeVm("third", "z"), { 0, event_kind::kBeat, "k" });
      beat.peerSample = { other };
      aMembership.HeartbeatArrived(beat, At(aRow.at));
      break;
    }
    case event_kind::kTick:
      aMembership.Tick(At(aRow.at));
      break;
  }
}

const store::vm*
Find(const std::vector<store::vm>& aVms, const std::string& aId)
{
  const auto found = std::find_if(
    aVms.begin(), aVms.end(), [&](const auto& aVm) { return aVm.id == aId; });
  return found == aVms.end() ? nullptr : &*found;
}

member::membership_settings
MakeSettings()
{
  member::membership_settings settings;
  settings.self = MakeVm("self", "x");
  settings.incarnation = "self-1";
  return settings;
}

} // namespace

TEST_GROUP(membership){};

TEST(membership, live)
{
  for (const auto& row : kLiveRows) {
    const auto membership = member::MakeMembership(MakeSettings(), kSeed);
    for (const auto& event : row.events) {
      Apply(*membership, event);
    }
    const auto live = membership->Live();
    const auto* other = Find(live, "other");
    CHECK_TEXT(Find(live, "self") != nullptr, row.name);
    CHECK_EQUAL_TEXT(row.expectLive, other != nullptr, row.name);
    const bool leaving = other != nullptr && other->leaving;
    CHECK_EQUAL_TEXT(row.expectLeaving, leaving, row.name);
  }
}

TEST(membership, tick_is_due_when_silence_changes_the_view)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  Apply(*membership, { 0, event_kind::kBeat, "i", 1 });
  const auto version = membership->Version();
  for (int step = 0; step < 100 && membership->Version() == version; ++step) {
    membership->Tick(membership->NextTick());
    static_cast<void>(membership->TakeHeartbeats());
  }
  CHECK(Find(membership->Live(), "other") == nullptr);
  CHECK(membership->NextTick() < At(700));
}

TEST(membership, news_go_out_at_once_and_a_bounded_number_of_times)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  membership->Listed({ MakeVm("other", "y") }, At(0));
  UNSIGNED_LONGS_EQUAL(1, membership->TakeHeartbeats().size());
  membership->Tick(At(10));
  CHECK(membership->TakeHeartbeats().empty());
  membership->SetTerm({ "g", 4, "s1" });
  CHECK(membership->NextTick() <= At(10));
  int carried = 0;
  for (int beat = 0; beat < 50; ++beat) {
    membership->Tick(At(10 + beat * 200));
    for (const auto& send : membership->TakeHeartbeats()) {
      carried += send.message.terms.empty() ? 0 : 1;
    }
    CHECK(beat > 0 || carried == 1);
  }
  LONGS_EQUAL(10, carried);
  membership->SetTerm({ "g", 3, "s2" });
  CHECK(membership->NextTick() > At(8000));
}

TEST(membership, suspicion_lasts_until_withdrawn)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  membership->Listed({ MakeVm("other", "y") }, At(0));
  membership->SetSuspicion({ "g", 4, "s1" });
  for (int beat = 0; beat < 20; ++beat) {
    membership->Tick(At(beat * 200));
    const auto sends = membership->TakeHeartbeats();
    UNSIGNED_LONGS_EQUAL(1, sends.front().message.suspicions.size());
  }
  membership->SetSuspicion({ "g", 4, "" });
  int withdrawn = 0;
  for (int beat = 20; beat < 40; ++beat) {
    membership->Tick(At(beat * 200));
    for (const auto& send : membership->TakeHeartbeats()) {
      for (const auto& word : send.message.suspicions) {
        CHECK(word.primary.empty());
        ++withdrawn;
      }
    }
  }
  LONGS_EQUAL(5, withdrawn);
}

TEST(membership, heartbeats_of_a_large_fleet_are_bounded)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  std::vector<store::vm> fleet;
  fleet.reserve(530);
  for (int vm = 0; vm < 530; ++vm) {
    fleet.push_back(
      MakeVm("vm" + std::to_string(vm), std::string(1, "xyz"[vm % 3])));
  }
  membership->Listed(fleet, At(0));
  membership->SetGroups({ "g1", "g2", "g3" });
  for (int beat = 0; beat < 10; ++beat) {
    membership->Tick(At(beat * 200));
    const auto sends = membership->TakeHeartbeats();
    CHECK(sends.size() >= 8);
    CHECK(sends.size() <= 14);
    for (const auto& send : sends) {
      CHECK(send.message.peerSample.size() <= 4);
    }
  }
}

TEST(membership, co_owners_always_get_heartbeats)
{
  std::vector<store::vm> others;
  others.reserve(100);
  for (int vm = 0; vm < 100; ++vm) {
    others.push_back(MakeVm("vm" + std::to_string(vm), vm < 50 ? "x" : "y"));
  }
  const absl::flat_hash_set<std::string> coOwners{ "vm17", "vm71" };
  const auto self = MakeVm("self", "x");
  const auto ring = member::RingNeighbours(self, others, 4);
  UNSIGNED_LONGS_EQUAL(4, ring.size());
  for (std::uint64_t beat = 0; beat < 20; ++beat) {
    const auto peers =
      member::ChoosePeers({ self, others, ring, coOwners, 8, kSeed, beat });
    UNSIGNED_LONGS_EQUAL(10, peers.size());
    for (const auto& id : ring) {
      CHECK(Find(peers, id) != nullptr);
    }
    CHECK(Find(peers, "vm17") != nullptr);
    CHECK(Find(peers, "vm71") != nullptr);
  }
}

TEST(membership, a_vm_that_was_only_listed_gets_nothing_once_it_is_not)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  membership->Listed({ MakeVm("a", "x"), MakeVm("spare", "y") }, At(0));
  membership->Tick(At(0));
  CHECK(!membership->TakeHeartbeats().empty());
  membership->Listed({ MakeVm("a", "x") }, At(1));
  membership->SetConfiguration(7);
  const auto sends = membership->TakeHeartbeats();
  UNSIGNED_LONGS_EQUAL(1, sends.size());
  STRCMP_EQUAL("a", sends.front().to.id.c_str());
}

// Events in any order, by seed: a roster keeps a view with itself in it, and
// addresses only VMs that it was told of.
TEST(membership, any_order_of_events)
{
  constexpr unsigned kVms = 20;
  constexpr int kEvents = 1500;
  for (const std::uint64_t seed : { 1, 2, 3, 5, 8, 13 }) {
    std::mt19937_64 generator(seed);
    const auto membership = member::MakeMembership(MakeSettings(), seed);
    const auto pick = [&generator] {
      const auto number = generator() % kVms;
      return MakeVm("vm" + std::to_string(number),
                    std::string(1, "xyz"[number % 3]));
    };
    membership->SetGroups({ "g1", "g2", "g3", "g4" });
    int now = 0;
    for (int event = 0; event < kEvents; ++event) {
      now += static_cast<int>(generator() % 200);
      std::vector<store::vm> listed;
      member::heartbeat beat;
      switch (generator() % 6) {
        case 0:
          for (auto count = generator() % kVms; count > 0; --count) {
            listed.push_back(pick());
          }
          membership->Listed(listed, At(now));
          break;
        case 1:
          membership->SetTerm({ "g1", generator() % 100, "s1" });
          break;
        case 2:
          membership->Tick(At(now));
          break;
        default:
          beat.sender = pick();
          beat.incarnation = std::to_string(generator() % 3);
          beat.sequence = generator() % 50;
          beat.peerSample = { pick() };
          beat.lost = { { pick().id, std::to_string(generator() % 3) } };
          beat.answer = generator() % 2 == 0;
          membership->HeartbeatArrived(beat, At(now));
          break;
      }
      for (const auto& send : membership->TakeHeartbeats()) {
        CHECK(send.to.id.starts_with("vm"));
      }
      CHECK(Find(membership->Live(), "self") != nullptr);
    }
  }
}
