#include "currantshed/node/lock_assignments.hpp"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace currantshed;
using node::cluster_state;
using node::lock_assignments;

namespace {

std::string
VmName(std::size_t aNumber)
{
  return "vm-" + std::to_string(aNumber);
}

std::string
GroupName(std::size_t aNumber)
{
  return "group-" + std::to_string(aNumber);
}

/// A fleet whose keys are changed one at a time, and the lock assignments as
/// seen by one VM.
struct fleet
{
  explicit fleet(std::size_t aGroups)
    : groups(aGroups)
  {
    for (std::size_t i = 0; i < aGroups; ++i) {
      assignments.AddService(state, GroupName(i));
    }
  }

  void AddVm(const std::string& aVm,
             std::uint64_t aIncarnation = 1,
             bool aDraining = false,
             unsigned aShare = 100)
  {
    node::vm_record record;
    record.where.vm = aVm;
    record.incarnation = aIncarnation;
    record.draining = aDraining;
    record.cpuMillicores = aShare;
    state.vms[aVm] = { record, {} };
    Update(aVm);
  }

  void RemoveVm(const std::string& aVm)
  {
    state.vms.erase(aVm);
    Update(aVm);
  }

  void Update(const std::string& aVm)
  {
    assignments.SetCandidates(state, node::LockCandidates(state));
    assignments.OnVmChanged(state, aVm);
  }

  void TakeLock(const std::string& aVm, const std::string& aGroup)
  {
    state.locks[aGroup] = { { aVm, 1, 1 }, {} };
    assignments.OnLockChanged(state, aGroup);
  }

  void RemoveLock(const std::string& aGroup)
  {
    state.locks.erase(aGroup);
    assignments.OnLockChanged(state, aGroup);
  }

  std::size_t groups;
  cluster_state state;
  lock_assignments assignments{ VmName(0) };
};

/// Whether assignments computed from scratch for the same keys are the same.
bool
MatchesRecomputed(const fleet& aFleet)
{
  lock_assignments recomputed(VmName(0));
  recomputed.SetCandidates(aFleet.state, node::LockCandidates(aFleet.state));
  for (std::size_t i = 0; i < aFleet.groups; ++i) {
    recomputed.AddService(aFleet.state, GroupName(i));
  }
  for (std::size_t i = 0; i < aFleet.groups; ++i) {
    const auto group = GroupName(i);
    if (recomputed.IsNextHolder(group) !=
          aFleet.assignments.IsNextHolder(group) ||
        recomputed.IsHeld(group) != aFleet.assignments.IsHeld(group)) {
      return false;
    }
  }
  return recomputed.OwnGroups() == aFleet.assignments.OwnGroups() &&
         recomputed.Holders() == aFleet.assignments.Holders();
}

/// Numbers of VMs, and of as many groups, for which work is counted.
constexpr std::size_t kSizes[] = { 50, 100, 200 };

} // namespace

TEST_GROUP(lock_assignments){};

TEST(lock_assignments, updates_match_a_full_computation)
{
  constexpr std::size_t kVms = 8;
  constexpr std::size_t kGroups = 12;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](std::size_t aOf) {
      return std::uniform_int_distribution<std::size_t>(0, aOf - 1)(random);
    };
    fleet one(kGroups);
    for (int step = 0; step < 200; ++step) {
      const auto vm = VmName(pick(kVms));
      const auto group = GroupName(pick(kGroups));
      switch (pick(5)) {
        case 0:
          one.RemoveVm(vm);
          break;
        case 1:
          one.RemoveLock(group);
          break;
        case 2:
          one.TakeLock(vm, group);
          break;
        default:
          one.AddVm(vm, 1 + pick(2), pick(4) == 0, pick(3) == 0 ? 100 : 10);
          break;
      }
      CHECK(MatchesRecomputed(one));
    }
  }
}

// All VMs of a fleet start together while no lock is held. Each new VM must
// cost every other one no more than a hash per vacant group. Comparing all VMs
// for each group at every change cost the product of both, and used most of the
// CPU time while 985 VMs started.
TEST(lock_assignments, a_new_vm_costs_one_hash_per_vacant_group)
{
  for (const auto size : kSizes) {
    fleet one(size);
    for (std::size_t i = 0; i < size; ++i) {
      const auto before = one.assignments.ScoresComputed();
      one.AddVm(VmName(i));
      CHECK(one.assignments.ScoresComputed() - before <= size);
    }
    CHECK(one.assignments.ScoresComputed() <= size * size);
  }
}

TEST(lock_assignments, a_change_of_one_vm_or_lock_costs_its_own_groups)
{
  for (const auto size : kSizes) {
    fleet one(size);
    for (std::size_t i = 0; i < size; ++i) {
      one.AddVm(VmName(i));
    }
    for (std::size_t i = 0; i < size; ++i) {
      one.TakeLock(VmName(i), GroupName(i));
    }
    const auto before = one.assignments.ScoresComputed();
    one.AddVm("another");
    CHECK_EQUAL(before, one.assignments.ScoresComputed());
    // The lost VM held the lock of one group, which one of the others is to
    // acquire.
    one.RemoveVm(VmName(size / 2));
    CHECK_EQUAL(before + size, one.assignments.ScoresComputed());
    one.TakeLock("another", GroupName(size / 2));
    CHECK_EQUAL(before + size, one.assignments.ScoresComputed());
    const auto changed = one.assignments.TakeChangedGroups();
    CHECK(changed.contains(GroupName(size / 2)));
    one.AddVm("a third");
    CHECK(one.assignments.TakeChangedGroups().empty());
  }
}

// Locks held by low-capacity VMs are taken over once there are enough
// high-capacity VMs, and not before.
TEST(lock_assignments, high_capacity_vms_hold_the_locks)
{
  fleet one(3);
  one.AddVm(VmName(0), 1, false, 10);
  one.AddVm("weak", 1, false, 10);
  for (std::size_t i = 0; i < 3; ++i) {
    one.TakeLock("weak", GroupName(i));
    CHECK(one.assignments.IsHeld(GroupName(i)));
  }
  one.AddVm("strong-1", 1, false, 100);
  CHECK(one.assignments.IsHeld(GroupName(0)));
  one.AddVm("strong-2", 1, false, 100);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(one.assignments.IsHeld(GroupName(i)));
    CHECK_FALSE(one.assignments.IsNextHolder(GroupName(i)));
    one.TakeLock("strong-1", GroupName(i));
    CHECK(one.assignments.IsHeld(GroupName(i)));
  }
  one.RemoveVm("strong-1");
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(one.assignments.IsHeld(GroupName(i)));
  }
}
