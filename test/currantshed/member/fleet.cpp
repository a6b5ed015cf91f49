#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantshed/member/membership.hpp"

#include <CppUTest/TestHarness.h>

namespace {

namespace member = currantshed::member;
namespace store = currantshed::store;
using currantshed::clock::time_point;
using std::chrono::milliseconds;

// Rosters of a whole fleet that send to each other in virtual time. The list
// never changes, as one that lags for long.
class fleet
{
public:
  fleet(std::size_t aVms, std::size_t aGroups, unsigned aLossPerMille)
    : mLoss(aLossPerMille)
  {
    std::vector<std::string> groups;
    for (std::size_t group = 0; group < aGroups; ++group) {
      groups.push_back("group-" + std::to_string(group));
    }
    for (std::size_t number = 0; number < aVms; ++number) {
      store::vm vm;
      vm.id = "vm-" + std::to_string(number);
      vm.failureDomain = std::string(1, "xyz"[number % 3]);
      mNumbers[vm.id] = number;
      mVms.push_back(vm);
    }
    for (std::size_t number = 0; number < aVms; ++number) {
      Start(number, "first");
      mMemberships.back()->Listed(mVms, mNow);
      mMemberships.back()->SetGroups(groups);
    }
  }

  void Run(milliseconds aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds{ 20 };
      for (std::size_t number = 0; number < mMemberships.size(); ++number) {
        if (mDead != number) {
          mMemberships[number]->Tick(mNow);
          Send(number);
        }
      }
    }
  }

  void Kill(std::size_t aNumber) { mDead = aNumber; }

  // Live VMs that take the given one for live.
  [[nodiscard]] std::size_t CountConsideringLive(std::size_t aNumber) const
  {
    std::size_t believers = 0;
    for (std::size_t number = 0; number < mMemberships.size(); ++number) {
      if (number == aNumber || mDead == number) {
        continue;
      }
      for (const auto& vm : mMemberships[number]->Live()) {
        believers += vm.id == mVms[aNumber].id ? 1 : 0;
      }
    }
    return believers;
  }

  [[nodiscard]] std::uint64_t Sent() const { return mSent; }
  [[nodiscard]] std::uint64_t Versions() const
  {
    std::uint64_t versions = 0;
    for (const auto& membership : mMemberships) {
      versions += membership->Version();
    }
    return versions;
  }

  void Revive(std::size_t aNumber)
  {
    mDead.reset();
    member::membership_settings settings;
    settings.self = mVms[aNumber];
    settings.incarnation = "second";
    mMemberships[aNumber] = member::MakeMembership(settings, aNumber);
    mMemberships[aNumber]->Listed(mVms, mNow);
  }

private:
  void Start(std::size_t aNumber, const std::string& aIncarnation)
  {
    member::membership_settings settings;
    settings.self = mVms[aNumber];
    settings.incarnation = aIncarnation;
    mMemberships.push_back(member::MakeMembership(settings, aNumber));
  }

  // Messages arrive at once; answers go out at the receiver's next turn.
  void Send(std::size_t aNumber)
  {
    constexpr unsigned kMille = 1000;
    for (const auto& send : mMemberships[aNumber]->TakeHeartbeats()) {
      ++mSent;
      const auto to = mNumbers.at(send.to.id);
      if (mDead != to && mGenerator() % kMille >= mLoss) {
        mMemberships[to]->HeartbeatArrived(send.message, mNow);
      }
    }
  }

  unsigned mLoss;
  std::mt19937_64 mGenerator{ 11 };
  time_point mNow{ milliseconds{ 1000 } };
  std::vector<store::vm> mVms;
  absl::flat_hash_map<std::string, std::size_t> mNumbers;
  std::vector<std::unique_ptr<member::membership>> mMemberships;
  std::optional<std::size_t> mDead;
  std::uint64_t mSent = 0;
};

struct fleet_row
{
  const char* name;
  std::size_t vms;
  std::size_t groups;
  unsigned lossPerMille;
};

const fleet_row kFleetRows[] = {
  { "today's size", 8, 3, 0 },
  { "today's size with losses", 8, 3, 100 },
  { "a hundred VMs", 100, 60, 0 },
  { "a hundred VMs with losses", 100, 60, 10 },
};

constexpr std::size_t kFailedVm = 5;

} // namespace

TEST_GROUP(fleet){};

// A loss is known everywhere soon, though the list never tells it, and so is
// the return.
TEST(fleet, a_loss_and_a_return_reach_everyone)
{
  for (const auto& row : kFleetRows) {
    fleet subject(row.vms, row.groups, row.lossPerMille);
    subject.Run(milliseconds{ 4000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.vms - 1, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Kill(kFailedVm);
    subject.Run(milliseconds{ 3000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      0, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Run(milliseconds{ 12000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      0, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Revive(kFailedVm);
    subject.Run(milliseconds{ 12000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.vms - 1, subject.CountConsideringLive(kFailedVm), row.name);
  }
}

// Nobody is taken for dead while nothing fails, and the messages of one VM
// stay bounded.
TEST(fleet, a_quiet_fleet_stays_as_it_is)
{
  for (const auto& row : kFleetRows) {
    if (row.lossPerMille > 0) {
      continue;
    }
    fleet subject(row.vms, row.groups, row.lossPerMille);
    subject.Run(milliseconds{ 4000 });
    const auto versions = subject.Versions();
    const auto sent = subject.Sent();
    subject.Run(milliseconds{ 10000 });
    UNSIGNED_LONGS_EQUAL_TEXT(versions, subject.Versions(), row.name);
    const auto perSecond = (subject.Sent() - sent) / row.vms / 10;
    // Seven intervals a second, each with the fanout, the co-owners and the
    // answers to neighbours.
    constexpr std::uint64_t kMost = 119;
    CHECK_TEXT(perSecond <= kMost, row.name);
  }
}
