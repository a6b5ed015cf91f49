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
  kHeartbeat,
  kLeavingHeartbeat,
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
  { "listed, no heartbeat, within the grace period",
    { { 0, event_kind::kListed }, { 2900, event_kind::kTick } },
    true,
    false },
  { "listed, no heartbeat, after the grace period",
    { { 0, event_kind::kListed }, { 3100, event_kind::kTick } },
    false,
    false },
  { "a further listing does not restart the grace period",
    { { 0, event_kind::kListed },
      { 2000, event_kind::kListed },
      { 3100, event_kind::kTick } },
    false,
    false },
  { "heartbeat received, not listed",
    { { 0, event_kind::kHeartbeat, "i", 1 }, { 400, event_kind::kTick } },
    true,
    false },
  { "listed, heartbeats stopped",
    { { 0, event_kind::kListed },
      { 100, event_kind::kHeartbeat, "i", 1 },
      { 700, event_kind::kTick } },
    false,
    false },
  { "heartbeats stopped, then resumed",
    { { 0, event_kind::kHeartbeat, "i", 1 },
      { 700, event_kind::kTick },
      { 800, event_kind::kHeartbeat, "i", 2 } },
    true,
    false },
  { "a replayed heartbeat does not make a VM live",
    { { 0, event_kind::kHeartbeat, "i", 5 },
      { 400, event_kind::kHeartbeat, "i", 5 },
      { 600, event_kind::kTick } },
    false,
    false },
  { "a delayed heartbeat of an earlier incarnation does not make a VM live",
    { { 0, event_kind::kHeartbeat, "i", 5 },
      { 100, event_kind::kHeartbeat, "j", 1 },
      { 500, event_kind::kHeartbeat, "i", 6 },
      { 700, event_kind::kTick } },
    false,
    false },
  { "a new incarnation restarts its sequence",
    { { 0, event_kind::kHeartbeat, "i", 500 },
      { 400, event_kind::kHeartbeat, "j", 1 },
      { 800, event_kind::kTick } },
    true,
    false },
  { "an unconfirmed VM is not live",
    { { 0, event_kind::kUnconfirmed }, { 10, event_kind::kTick } },
    false,
    false },
  { "unconfirmed, then a heartbeat",
    { { 0, event_kind::kUnconfirmed }, { 10, event_kind::kHeartbeat, "i", 1 } },
    true,
    false },
  { "a VM that says that it is leaving",
    { { 0, event_kind::kListed },
      { 10, event_kind::kLeavingHeartbeat, "i", 1 } },
    true,
    true },
  { "removed from the listing while heartbeats arrive",
    { { 0, event_kind::kListed },
      { 100, event_kind::kHeartbeat, "i", 1 },
      { 200, event_kind::kUnlisted },
      { 300, event_kind::kTick } },
    true,
    false },
};

member::heartbeat
MakeHeartbeat(const store::vm& aSender, const event_row& aRow)
{
  member::heartbeat beat;
  beat.sender = aSender;
  beat.sender.leaving = aRow.kind == event_kind::kLeavingHeartbeat;
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
    case event_kind::kHeartbeat:
    case event_kind::kLeavingHeartbeat:
      aMembership.HeartbeatArrived(MakeHeartbeat(other, aRow), At(aRow.at));
      break;
    case event_kind::kUnconfirmed: {
      auto beat =
        MakeHeartbeat(MakeVm("third", "z"), { 0, event_kind::kHeartbeat, "k" });
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

TEST(membership, tick_is_due_when_a_failure_timeout_expires)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  Apply(*membership, { 0, event_kind::kHeartbeat, "i", 1 });
  const auto version = membership->Version();
  for (int step = 0; step < 100 && membership->Version() == version; ++step) {
    membership->Tick(membership->NextTick());
    static_cast<void>(membership->TakeHeartbeats());
  }
  CHECK(Find(membership->Live(), "other") == nullptr);
  CHECK(membership->NextTick() < At(700));
}

TEST(membership, term_updates_are_sent_at_once_and_a_bounded_number_of_times)
{
  const auto membership = member::MakeMembership(MakeSettings(), kSeed);
  membership->Listed({ MakeVm("other", "y") }, At(0));
  UNSIGNED_LONGS_EQUAL(1, membership->TakeHeartbeats().size());
  membership->Tick(At(10));
  CHECK(membership->TakeHeartbeats().empty());
  membership->SetTerm({ "g", 4, "s1" });
  CHECK(membership->NextTick() <= At(10));
  int sent = 0;
  for (int beat = 0; beat < 50; ++beat) {
    membership->Tick(At(10 + beat * 200));
    for (const auto& send : membership->TakeHeartbeats()) {
      sent += send.message.terms.empty() ? 0 : 1;
    }
    CHECK(beat > 0 || sent == 1);
  }
  LONGS_EQUAL(10, sent);
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
      for (const auto& suspicion : send.message.suspicions) {
        CHECK(suspicion.primary.empty());
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

TEST(membership, a_vm_known_from_the_listing_only_gets_nothing_once_unlisted)
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

// Random events, by seed: the view always includes the VM itself, and
// heartbeats go only to VMs that were named to it.
TEST(membership, any_order_of_events)
{
  constexpr unsigned kVms = 20;
  constexpr int kEvents = 1500;
  for (const std::uint64_t seed : { 1, 2, 3, 5, 8, 13 }) {
    std::mt19937_64 generator(seed);
    const auto membership = member::MakeMembership(MakeSettings(), seed);
    const auto pickVm = [&generator] {
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
            listed.push_back(pickVm());
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
          beat.sender = pickVm();
          beat.incarnation = std::to_string(generator() % 3);
          beat.sequence = generator() % 50;
          beat.peerSample = { pickVm() };
          beat.lost = { { pickVm().id, std::to_string(generator() % 3) } };
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
