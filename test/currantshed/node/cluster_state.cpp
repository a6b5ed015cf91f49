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
Vm(const std::string& aName, std::uint64_t aIncarnation, bool aDraining = false)
{
  vm_record record;
  record.where = { aName, "10.0.0.1", 7440 };
  record.relayPort = 7441;
  record.failureDomain = "marka";
  record.incarnation = aIncarnation;
  record.draining = aDraining;
  return record;
}

store::prefix_view::items
Items(const std::vector<vm_record>& aVms,
      const std::optional<failover_lock>& aLock)
{
  store::prefix_view::items items;
  std::uint64_t revision = 10;
  for (const auto& vm : aVms) {
    const auto key = node::VmKey(vm.where.vm);
    items[key] = { key, node::SerializeVm(vm), { 0, ++revision }, { 0, 1 } };
  }
  if (aLock) {
    const auto key = node::FailoverLockKey("group");
    items[key] = {
      key, node::SerializeFailoverLock(*aLock), { 0, ++revision }, {}
    };
  }
  return items;
}

struct claim_row
{
  const char* name;
  std::vector<vm_record> vms;
  std::optional<failover_lock> lock;
  /// Whether some VM claims the lock.
  bool claims;
};

const claim_row kRows[] = {
  { "no holder", { Vm("a", 1), Vm("b", 2) }, std::nullopt, true },
  { "the holder is listed",
    { Vm("a", 1), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    false },
  { "the holder is not listed",
    { Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    true },
  { "the holder has restarted",
    { Vm("a", 3), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    true },
  { "the holder is draining",
    { Vm("a", 1, true), Vm("b", 2) },
    failover_lock{ "a", 1, 5 },
    true },
  { "all VMs are draining", { Vm("a", 1, true) }, std::nullopt, false },
};

} // namespace

TEST_GROUP(cluster_state){};

TEST(cluster_state, one_vm_claims_a_lock_without_holder)
{
  for (const auto& row : kRows) {
    const auto state = node::ReadClusterState(Items(row.vms, row.lock));
    int claimCount = 0;
    for (const auto& vm : row.vms) {
      node::lock_assignments assignments(vm.where.vm);
      assignments.AddService(state, "group");
      assignments.SetCandidates(state, node::LockCandidates(state));
      const bool claims = assignments.IsNextHolder("group");
      CHECK_TEXT(!(claims && vm.draining), row.name);
      claimCount += claims ? 1 : 0;
    }
    CHECK_TEXT(claimCount == (row.claims ? 1 : 0), row.name);
  }
}

TEST(cluster_state, a_claim_is_conditional_on_the_records_that_were_read)
{
  const auto items =
    Items({ Vm("a", 1, true), Vm("b", 2) }, failover_lock{ "a", 1, 50 });
  const auto state = node::ReadClusterState(items);
  const auto claim =
    node::MakeLockClaim(state, "group", Vm("b", 2), { 0, 20 }, {});
  CHECK_EQUAL(2, static_cast<int>(claim.conditions.size()));
  CHECK(claim.conditions[0].changed ==
        items.at(node::FailoverLockKey("group")).changed);
  CHECK(claim.conditions[1].changed == items.at(node::VmKey("a")).changed);
  const auto made = node::ParseFailoverLock(claim.puts.front());
  CHECK(made && made->holder == "b" && made->epoch == 51);
  // The epoch is higher even if the record of the earlier lock was lost.
  const auto fresh = node::MakeLockClaim(
    node::ReadClusterState({}), "group", Vm("b", 2), { 0, 90 }, {});
  CHECK(node::ParseFailoverLock(fresh.puts.front())->epoch == 90);
  CHECK(fresh.conditions.front().changed.number == 0);
}

TEST(cluster_state, the_next_holder_inherits_the_replaced_term)
{
  const auto items =
    Items({ Vm("a", 1, true), Vm("b", 2) }, failover_lock{ "a", 1, 50, 6 });
  const auto state = node::ReadClusterState(items);
  const auto claim =
    node::MakeLockClaim(state, "group", Vm("b", 2), { 0, 40 }, {});
  const auto made = node::ParseFailoverLock(claim.puts.front());
  CHECK(made && made->holder == "b" && made->terms.replaced == 6);
  // A record written by a version without the field is still valid.
  const auto old = node::ParseFailoverLock(
    { "k", R"({"holder":"a","incarnation":1,"epoch":5})", {}, {} });
  CHECK(old && old->epoch == 5 && old->terms.replaced == 0);
}

TEST(cluster_state, the_fleet_is_recorded_without_incarnations)
{
  const std::vector<vm_record> fleet{ Vm("a", 1), Vm("b", 2) };
  store::prefix_view::items items;
  items[node::FleetKey()] = {
    node::FleetKey(), node::SerializeFleet(fleet), { 0, 7 }, 0
  };
  const auto state = node::ReadClusterState(items);
  CHECK(node::IsSameFleet(state.fleet, fleet));
  CHECK(state.fleetChanged.number == 7);
  CHECK(state.Listed().empty());
  CHECK(node::IsSameFleet(fleet, { Vm("a", 8), Vm("b", 9, true) }));
  CHECK_FALSE(node::IsSameFleet(fleet, { Vm("a", 1) }));
  auto moved = fleet;
  moved.front().where.address = "10.0.0.9";
  CHECK_FALSE(node::IsSameFleet(fleet, moved));
  items[node::FleetKey()].value = "{";
  CHECK(node::ReadClusterState(items).fleet.empty());
}

TEST(cluster_state, malformed_values_are_ignored)
{
  store::prefix_view::items items;
  for (const char* text :
       { "", "{", "[]", "{\"vm\":1}", "{\"holder\":\"a\"}" }) {
    items[node::VmKey("x")] = { node::VmKey("x"), text, {}, {} };
    items[node::FailoverLockKey("g")] = {
      node::FailoverLockKey("g"), text, {}, {}
    };
    const auto state = node::ReadClusterState(items);
    CHECK(state.vms.empty() && state.locks.empty());
  }
}

struct epoch_row
{
  const char* name;
  /// The lock's record in the store, and the store's revision at a claim before
  /// and at a claim after the store lost changes.
  failover_lock recorded;
  store::revision before;
  store::revision after;
};

const epoch_row kEpochRows[] = {
  { "revisions are assigned again", { "a", 1, 5 }, { 1, 40 }, { 2, 40 } },
  { "the snapshot is far behind", { "a", 1, 5 }, { 1, 9000 }, { 2, 12 } },
  { "the record is lost as well", {}, { 1, 9000 }, { 2, 12 } },
  { "the store is restored twice", { "a", 1, 5 }, { 1, 9000 }, { 3, 12 } },
};

// Guards against reuse of an epoch after a restore of the store. All VMs may
// have been killed in between, so that none remembers the claim that the store
// lost.
TEST(cluster_state, a_restored_store_reuses_no_epoch)
{
  for (const auto& row : kEpochRows) {
    const auto isRecorded = !row.recorded.holder.empty();
    const auto state = node::ReadClusterState(Items(
      { Vm("b", 2) }, isRecorded ? std::optional(row.recorded) : std::nullopt));
    const auto lost = node::ParseFailoverLock(
      node::MakeLockClaim(state, "group", Vm("b", 2), row.before, {})
        .puts.front());
    const auto next = node::ParseFailoverLock(
      node::MakeLockClaim(state, "group", Vm("c", 3), row.after, {})
        .puts.front());
    CHECK_TEXT(next->epoch > lost->epoch, row.name);
  }
}

TEST(cluster_state, is_of_the_era_in_which_it_was_claimed)
{
  for (const store::era_id era : { 0, 1, 7 }) {
    const auto claimed = node::ParseFailoverLock(
      node::MakeLockClaim({}, "group", Vm("b", 2), { era, 90 }, {})
        .puts.front());
    CHECK(node::IsFromEra(*claimed, era));
    CHECK_FALSE(node::IsFromEra(*claimed, era + 1));
  }
}

TEST(cluster_state, a_lock_record_keeps_where_terms_ended)
{
  const lead::term_history terms{ 2, "b", { { 1, 184 }, { 2, 190 } } };
  for (const auto& expect : { terms, lead::term_history{} }) {
    const auto read = node::ParseFailoverLock(
      { "key", node::SerializeFailoverLock({ "a", 1, 5, expect }), {}, {} });
    CHECK(read && read->terms == expect);
  }
  // The next holder adds what it knows.
  const auto state = node::ReadClusterState(
    Items({ Vm("b", 2) }, failover_lock{ "a", 1, 50, { 1, "c", {} } }));
  const auto claimed = node::ParseFailoverLock(
    node::MakeLockClaim(state, "group", Vm("b", 2), { 2, 40 }, terms)
      .puts.front());
  CHECK(claimed && claimed->terms == terms);
}

// The restored record lacks a term that this VM knows to be replaced.
TEST(cluster_state, a_claim_records_the_newest_replaced_term)
{
  const auto state = node::ReadClusterState(
    Items({ Vm("b", 2) }, failover_lock{ "b", 2, 50, 6 }));
  for (const position::term_id known : { 0, 6, 9 }) {
    const auto made = node::ParseFailoverLock(
      node::MakeLockClaim(state, "group", Vm("b", 2), { 2, 40 }, { known })
        .puts.front());
    CHECK(made->terms.replaced == std::max<position::term_id>(known, 6));
  }
}

// The restored list and fleet record lack VMs that are still running.
TEST(cluster_state, known_vms_are_merged_into_the_fleet)
{
  cluster_state state;
  state.fleet = { Vm("b", 2) };
  node::MergeIntoFleet(state, { Vm("c", 3), Vm("a", 1), Vm("b", 9) });
  CHECK(node::IsSameFleet(state.fleet, { Vm("a", 1), Vm("b", 2), Vm("c", 3) }));
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
  const auto areSameLocks = [&](const auto& aOne, const auto& aOther) {
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
                    areSameLocks) &&
         aLeft.fleet == aRight.fleet &&
         aLeft.fleetChanged == aRight.fleetChanged;
}

/// Random writes and removals of keys of all kinds, valid or not.
class key_changer
{
public:
  explicit key_changer(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  /// Changes one key and returns it.
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

// Any sequence of incremental updates of any size must give the same result as
// reading all keys.
TEST(cluster_state, updates_match_a_full_read)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    key_changer changer(seed);
    store::prefix_view::items items;
    cluster_state state;
    for (unsigned step = 0; step < 200; ++step) {
      std::set<std::string> changed;
      for (unsigned i = 0; i < 1 + step % 3; ++i) {
        changed.insert(changer.Change(items));
      }
      (void)node::UpdateClusterState(
        state, items, { false, { changed.begin(), changed.end() } });
      CHECK(AreSame(state, node::ReadClusterState(items)));
    }
  }
}

// Moving a key to another lease writes it again with the same value.
TEST(cluster_state, an_equal_record_is_no_change_of_the_vm)
{
  auto items = Items({ Vm("a", 1), Vm("b", 2) }, std::nullopt);
  auto state = node::ReadClusterState(items);
  const auto key = node::VmKey("a");
  items[key].changed = { 0, 90 };
  CHECK(node::UpdateClusterState(state, items, { false, { key } }).vms.empty());
  CHECK(state.vms.at("a").changed.number == 90);
  items[key].value = node::SerializeVm(Vm("a", 1, true));
  CHECK(node::UpdateClusterState(state, items, { false, { key } }).vms ==
        std::vector<std::string>{ "a" });
}

// A VM that is cut off from the store is neither registered nor recorded after
// a while. Its share of the customers' rates then counts no longer: the others
// share the whole rate.
TEST(cluster_state, members_are_registered_or_recorded)
{
  node::cluster_state state;
  node::vm_record registered;
  registered.where.vm = "registered";
  node::vm_record recorded;
  recorded.where.vm = "recorded";
  state.vms["registered"] = { registered, {} };
  state.fleet = { recorded };
  CHECK(state.IsMember("registered"));
  CHECK(state.IsMember("recorded"));
  CHECK(!state.IsMember("cut off"));
}
