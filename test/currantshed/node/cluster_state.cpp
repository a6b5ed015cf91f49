#include "currantshed/node/cluster_state.hpp"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantshed/node/lock_assignments.hpp"

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using node::cluster_state;
using node::failover_lock;
using node::vm_record;

namespace {

vm_record
Vm(const std::string& aName, std::uint64_t aIncarnation, bool aLeaving = false)
{
  vm_record record;
  record.where = { aName, "10.0.0.1", 7440 };
  record.relayPort = 7441;
  record.failureDomain = "marka";
  record.incarnation = aIncarnation;
  record.leaving = aLeaving;
  return record;
}

store::prefix_view::items
Items(const std::vector<vm_record>& aVms,
      const std::optional<failover_lock>& aDuty)
{
  store::prefix_view::items items;
  std::uint64_t revision = 10;
  for (const auto& vm : aVms) {
    const auto key = node::VmKey(vm.where.vm);
    items[key] = { key, node::SerializeVm(vm), { 0, ++revision }, { 0, 1 } };
  }
  if (aDuty) {
    const auto key = node::FailoverLockKey("group");
    items[key] = {
      key, node::SerializeFailoverLock(*aDuty), { 0, ++revision }, {}
    };
  }
  return items;
}

struct claim_row
{
  const char* name;
  std::vector<vm_record> vms;
  std::optional<failover_lock> duty;
  /// Whether some VM claims the duty.
  bool claims;
};

const claim_row kRows[] = {
  { "nobody holds it", { Vm("a", 1), Vm("b", 2) }, std::nullopt, true },
  { "one that is listed holds it",
    { Vm("a", 1), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    false },
  { "the holder is gone", { Vm("b", 2) }, failover_lock{ "a", 1, 5 }, true },
  { "the holder began anew",
    { Vm("a", 3), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    true },
  { "the holder leaves",
    { Vm("a", 1, true), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    true },
  { "all leave", { Vm("a", 1, true) }, std::nullopt, false },
};

} // namespace

TEST_GROUP(duty){};

TEST(duty, one_vm_claims_what_nobody_holds)
{
  for (const auto& row : kRows) {
    const auto keys = node::ReadClusterState(Items(row.vms, row.duty));
    int claimers = 0;
    for (const auto& vm : row.vms) {
      node::lock_assignments board(vm.where.vm);
      board.AddService(keys, "group");
      board.SetCandidates(keys, node::LockCandidates(keys));
      const bool claims = board.IsNextHolder("group");
      CHECK_TEXT(!(claims && vm.leaving), row.name);
      claimers += claims ? 1 : 0;
    }
    CHECK_TEXT(claimers == (row.claims ? 1 : 0), row.name);
  }
}

TEST(duty, a_claim_holds_only_over_what_was_seen)
{
  const auto items =
    Items({ Vm("a", 1, true), Vm("b", 2) }, failover_lock{ "a", 1, 50 });
  const auto keys = node::ReadClusterState(items);
  const auto claim =
    node::MakeLockClaim(keys, "group", Vm("b", 2), { 0, 20 }, 0);
  CHECK_EQUAL(2, static_cast<int>(claim.conditions.size()));
  CHECK(claim.conditions[0].changed ==
        items.at(node::FailoverLockKey("group")).changed);
  CHECK(claim.conditions[1].changed == items.at(node::VmKey("a")).changed);
  const auto made = node::ParseFailoverLock(claim.puts.front());
  CHECK(made && made->holder == "b" && made->epoch == 51);
  // A record that was lost still leaves a higher number.
  const auto fresh = node::MakeLockClaim(
    node::ReadClusterState({}), "group", Vm("b", 2), { 0, 90 }, 0);
  CHECK(node::ParseFailoverLock(fresh.puts.front())->epoch == 90);
  CHECK(fresh.conditions.front().changed.number == 0);
}

TEST(duty, the_replaced_term_goes_on_to_the_next_holder)
{
  const auto items =
    Items({ Vm("a", 1, true), Vm("b", 2) }, failover_lock{ "a", 1, 50, 6 });
  const auto keys = node::ReadClusterState(items);
  const auto claim =
    node::MakeLockClaim(keys, "group", Vm("b", 2), { 0, 40 }, 0);
  const auto made = node::ParseFailoverLock(claim.puts.front());
  CHECK(made && made->holder == "b" && made->replacedTerm == 6);
  // A record of a version that did not have the term is still one.
  const auto old = node::ParseFailoverLock(
    { "k", R"({"holder":"a","incarnation":1,"epoch":5})", {}, {} });
  CHECK(old && old->epoch == 5 && old->replacedTerm == 0);
}

TEST(duty, the_fleet_is_recorded_without_its_lives)
{
  const std::vector<vm_record> fleet{ Vm("a", 1), Vm("b", 2) };
  store::prefix_view::items items;
  items[node::FleetKey()] = {
    node::FleetKey(), node::SerializeFleet(fleet), { 0, 7 }, 0
  };
  const auto keys = node::ReadClusterState(items);
  CHECK(node::IsSameFleet(keys.fleet, fleet));
  CHECK(keys.fleetChanged.number == 7);
  CHECK(keys.Listed().empty());
  CHECK(node::IsSameFleet(fleet, { Vm("a", 8), Vm("b", 9, true) }));
  CHECK_FALSE(node::IsSameFleet(fleet, { Vm("a", 1) }));
  auto moved = fleet;
  moved.front().where.address = "10.0.0.9";
  CHECK_FALSE(node::IsSameFleet(fleet, moved));
  items[node::FleetKey()].value = "{";
  CHECK(node::ReadClusterState(items).fleet.empty());
}

TEST(duty, what_cannot_be_read_is_left_out)
{
  store::prefix_view::items items;
  for (const char* text :
       { "", "{", "[]", "{\"vm\":1}", "{\"holder\":\"a\"}" }) {
    items[node::VmKey("x")] = { node::VmKey("x"), text, {}, {} };
    items[node::FailoverLockKey("g")] = {
      node::FailoverLockKey("g"), text, {}, {}
    };
    const auto keys = node::ReadClusterState(items);
    CHECK(keys.vms.empty() && keys.locks.empty());
  }
}

struct epoch_row
{
  const char* name;
  /// The duty's record as the store has it, and the store's state as it is
  /// claimed, before it loses changes and after.
  failover_lock recorded;
  store::revision before;
  store::revision after;
};

const epoch_row kEpochRows[] = {
  { "revisions are given out again", { "a", 1, 5 }, { 1, 40 }, { 2, 40 } },
  { "the copy is far behind", { "a", 1, 5 }, { 1, 9000 }, { 2, 12 } },
  { "the record is lost as well", {}, { 1, 9000 }, { 2, 12 } },
  { "the store comes back twice", { "a", 1, 5 }, { 1, 9000 }, { 3, 12 } },
};

// All VMs may have been killed in between, so that nobody knows of the claim
// that was lost.
TEST(duty, no_epoch_is_given_again_by_a_store_that_lost_it)
{
  for (const auto& row : kEpochRows) {
    const auto isRecorded = !row.recorded.holder.empty();
    const auto keys = node::ReadClusterState(Items(
      { Vm("b", 2) }, isRecorded ? std::optional(row.recorded) : std::nullopt));
    const auto lost = node::ParseFailoverLock(
      node::MakeLockClaim(keys, "group", Vm("b", 2), row.before, 0)
        .puts.front());
    const auto next = node::ParseFailoverLock(
      node::MakeLockClaim(keys, "group", Vm("c", 3), row.after, 0)
        .puts.front());
    CHECK_TEXT(next->epoch > lost->epoch, row.name);
  }
}

TEST(duty, is_of_the_era_in_which_it_was_claimed)
{
  for (const store::era_id era : { 0, 1, 7 }) {
    const auto claimed = node::ParseFailoverLock(
      node::MakeLockClaim({}, "group", Vm("b", 2), { era, 90 }, 0)
        .puts.front());
    CHECK(node::IsFromEra(*claimed, era));
    CHECK_FALSE(node::IsFromEra(*claimed, era + 1));
  }
}

// The record of the copy lacks a term that this VM knows to be replaced.
TEST(duty, a_claim_records_the_newest_replaced_term)
{
  const auto keys = node::ReadClusterState(
    Items({ Vm("b", 2) }, failover_lock{ "b", 2, 50, 6 }));
  for (const position::term_id known : { 0, 6, 9 }) {
    const auto made = node::ParseFailoverLock(
      node::MakeLockClaim(keys, "group", Vm("b", 2), { 2, 40 }, known)
        .puts.front());
    CHECK(made->replacedTerm == std::max<position::term_id>(known, 6));
  }
}

// The list and the record of the copy lack VMs that run on.
TEST(duty, vms_that_were_known_count_beside_the_record)
{
  cluster_state keys;
  keys.fleet = { Vm("b", 2) };
  node::MergeIntoFleet(keys, { Vm("c", 3), Vm("a", 1), Vm("b", 9) });
  CHECK(node::IsSameFleet(keys.fleet, { Vm("a", 1), Vm("b", 2), Vm("c", 3) }));
}

namespace {

bool
AreSame(const cluster_state& aLeft, const cluster_state& aRight)
{
  const auto isSame = [](const auto& aOne, const auto& aOther) {
    return aOne.first == aOther.first &&
           aOne.second.changed == aOther.second.changed;
  };
  const auto areSameVms = [&](const auto& aOne, const auto& aOther) {
    return isSame(aOne, aOther) && aOne.second.record == aOther.second.record;
  };
  const auto areSameDuties = [&](const auto& aOne, const auto& aOther) {
    return isSame(aOne, aOther) &&
           node::SerializeFailoverLock(aOne.second.record) ==
             node::SerializeFailoverLock(aOther.second.record);
  };
  return std::equal(aLeft.vms.begin(),
                    aLeft.vms.end(),
                    aRight.vms.begin(),
                    aRight.vms.end(),
                    areSameVms) &&
         std::equal(aLeft.locks.begin(),
                    aLeft.locks.end(),
                    aRight.locks.begin(),
                    aRight.locks.end(),
                    areSameDuties) &&
         aLeft.fleet == aRight.fleet &&
         aLeft.fleetChanged == aRight.fleetChanged;
}

/// Random writes and removals of keys of all kinds, readable or not.
class key_changer
{
public:
  explicit key_changer(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  /// Changes one key, and returns it.
  std::string Change(store::prefix_view::items& aItems)
  {
    const auto [key, value] = Draw();
    if (Pick(4) == 0) {
      aItems.erase(key);
    } else {
      aItems[key] = { key, value, { 0, ++mRevision }, {} };
    }
    return key;
  }

private:
  unsigned Pick(unsigned aOf)
  {
    return std::uniform_int_distribution<unsigned>(0, aOf - 1)(mRandom);
  }

  std::pair<std::string, std::string> Draw()
  {
    const auto name = std::string(1, static_cast<char>('a' + Pick(6)));
    const bool isBroken = Pick(10) == 0;
    switch (Pick(5)) {
      case 0:
        return { node::FleetKey(),
                 isBroken ? "{" : node::SerializeFleet({ Vm(name, 1) }) };
      case 1:
      case 2:
        return { node::FailoverLockKey(name),
                 isBroken
                   ? "[]"
                   : node::SerializeFailoverLock({ name, Pick(3), Pick(9) }) };
      default:
        return { node::VmKey(name),
                 isBroken
                   ? ""
                   : node::SerializeVm(Vm(name, Pick(3), Pick(2) == 0)) };
    }
  }

  std::mt19937 mRandom;
  std::uint64_t mRevision = 0;
};

} // namespace

// Whatever changes, and however many changes are taken over at a time, the
// outcome is that of reading all keys anew.
TEST(duty, changes_lead_to_what_reading_all_does)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    key_changer changer(seed);
    store::prefix_view::items items;
    cluster_state keys;
    for (unsigned step = 0; step < 200; ++step) {
      std::set<std::string> changed;
      for (unsigned i = 0; i < 1 + step % 3; ++i) {
        changed.insert(changer.Change(items));
      }
      (void)node::UpdateClusterState(
        keys, items, { false, { changed.begin(), changed.end() } });
      CHECK(AreSame(keys, node::ReadClusterState(items)));
    }
  }
}

// A key that is moved to another lease is written anew, and says the same.
TEST(duty, a_record_that_says_the_same_is_no_change_of_the_vm)
{
  auto items = Items({ Vm("a", 1), Vm("b", 2) }, std::nullopt);
  auto keys = node::ReadClusterState(items);
  const auto key = node::VmKey("a");
  items[key].changed = { 0, 90 };
  CHECK(node::UpdateClusterState(keys, items, { false, { key } }).vms.empty());
  CHECK(keys.vms.at("a").changed.number == 90);
  items[key].value = node::SerializeVm(Vm("a", 1, true));
  CHECK(node::UpdateClusterState(keys, items, { false, { key } }).vms ==
        std::vector<std::string>{ "a" });
}
