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

/// A fleet whose keys are changed one at a time, and one VM's board of it.
struct fleet
{
  explicit fleet(std::size_t aGroups)
    : groups(aGroups)
  {
    for (std::size_t i = 0; i < aGroups; ++i) {
      board.AddService(keys, GroupName(i));
    }
  }

  void Comes(const std::string& aVm,
             std::uint64_t aIncarnation = 1,
             bool aLeaving = false,
             unsigned aShare = 100)
  {
    node::vm_record record;
    record.where.vm = aVm;
    record.incarnation = aIncarnation;
    record.leaving = aLeaving;
    record.cpuMillicores = aShare;
    keys.vms[aVm] = { record, {} };
    Changed(aVm);
  }

  void Goes(const std::string& aVm)
  {
    keys.vms.erase(aVm);
    Changed(aVm);
  }

  void Changed(const std::string& aVm)
  {
    board.SetCandidates(keys, node::LockCandidates(keys));
    board.OnVmChanged(keys, aVm);
  }

  void Takes(const std::string& aVm, const std::string& aGroup)
  {
    keys.locks[aGroup] = { { aVm, 1, 1 }, {} };
    board.OnLockChanged(keys, aGroup);
  }

  void IsLost(const std::string& aGroup)
  {
    keys.locks.erase(aGroup);
    board.OnLockChanged(keys, aGroup);
  }

  std::size_t groups;
  cluster_state keys;
  lock_assignments board{ VmName(0) };
};

/// What a board made anew from the same keys says of a group.
bool
IsSameAnew(const fleet& aFleet)
{
  lock_assignments anew(VmName(0));
  anew.SetCandidates(aFleet.keys, node::LockCandidates(aFleet.keys));
  for (std::size_t i = 0; i < aFleet.groups; ++i) {
    anew.AddService(aFleet.keys, GroupName(i));
  }
  for (std::size_t i = 0; i < aFleet.groups; ++i) {
    const auto group = GroupName(i);
    if (anew.IsNextHolder(group) != aFleet.board.IsNextHolder(group) ||
        anew.IsHeld(group) != aFleet.board.IsHeld(group)) {
      return false;
    }
  }
  return anew.OwnGroups() == aFleet.board.OwnGroups() &&
         anew.Holders() == aFleet.board.Holders();
}

/// Sizes at which work is counted: VMs, and as many groups.
constexpr std::size_t kSizes[] = { 50, 100, 200 };

} // namespace

TEST_GROUP(lock_assignments){};

TEST(lock_assignments, changes_lead_to_what_a_look_at_all_does)
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
          one.Goes(vm);
          break;
        case 1:
          one.IsLost(group);
          break;
        case 2:
          one.Takes(vm, group);
          break;
        default:
          one.Comes(vm, 1 + pick(2), pick(4) == 0, pick(3) == 0 ? 100 : 10);
          break;
      }
      CHECK(IsSameAnew(one));
    }
  }
}

// All VMs of a fleet start together before groups that nobody holds. Each VM
// that comes costs every other one a hash for each vacant group; looking at all
// VMs for each group at every change cost the product, and a start of 985 VMs
// took most of their processor time.
TEST(lock_assignments, a_vm_that_comes_costs_the_vacant_groups)
{
  for (const auto size : kSizes) {
    fleet one(size);
    for (std::size_t i = 0; i < size; ++i) {
      const auto before = one.board.ScoresComputed();
      one.Comes(VmName(i));
      CHECK(one.board.ScoresComputed() - before <= size);
    }
    CHECK(one.board.ScoresComputed() <= size * size);
  }
}

TEST(lock_assignments, a_change_of_one_vm_or_lock_costs_its_own_groups)
{
  for (const auto size : kSizes) {
    fleet one(size);
    for (std::size_t i = 0; i < size; ++i) {
      one.Comes(VmName(i));
    }
    for (std::size_t i = 0; i < size; ++i) {
      one.Takes(VmName(i), GroupName(i));
    }
    const auto atRest = one.board.ScoresComputed();
    one.Comes("another");
    CHECK_EQUAL(atRest, one.board.ScoresComputed());
    // One that goes leaves a single group to be taken by one of the others.
    one.Goes(VmName(size / 2));
    CHECK_EQUAL(atRest + size, one.board.ScoresComputed());
    one.Takes("another", GroupName(size / 2));
    CHECK_EQUAL(atRest + size, one.board.ScoresComputed());
    const auto changed = one.board.TakeChangedGroups();
    CHECK(changed.contains(GroupName(size / 2)));
    one.Comes("a third");
    CHECK(one.board.TakeChangedGroups().empty());
  }
}

// Strong VMs that come take over what weak ones hold, and only then.
TEST(lock_assignments, strong_vms_hold_the_locks)
{
  fleet one(3);
  one.Comes(VmName(0), 1, false, 10);
  one.Comes("weak", 1, false, 10);
  for (std::size_t i = 0; i < 3; ++i) {
    one.Takes("weak", GroupName(i));
    CHECK(one.board.IsHeld(GroupName(i)));
  }
  one.Comes("strong-1", 1, false, 100);
  CHECK(one.board.IsHeld(GroupName(0)));
  one.Comes("strong-2", 1, false, 100);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(one.board.IsHeld(GroupName(i)));
    CHECK_FALSE(one.board.IsNextHolder(GroupName(i)));
    one.Takes("strong-1", GroupName(i));
    CHECK(one.board.IsHeld(GroupName(i)));
  }
  one.Goes("strong-1");
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(one.board.IsHeld(GroupName(i)));
  }
}
