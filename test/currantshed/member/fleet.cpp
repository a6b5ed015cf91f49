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

// Memberships of a whole fleet that exchange heartbeats in virtual time. The
// listing never changes, like one that lags for a long time.
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
        if (mFailed != number) {
          mMemberships[number]->Tick(mNow);
          Send(number);
        }
      }
    }
  }

  void Fail(std::size_t aNumber) { mFailed = aNumber; }

  // Number of other live VMs that consider the given one live.
  [[nodiscard]] std::size_t CountConsideringLive(std::size_t aNumber) const
  {
    std::size_t count = 0;
    for (std::size_t number = 0; number < mMemberships.size(); ++number) {
      if (number == aNumber || mFailed == number) {
        continue;
      }
      for (const auto& vm : mMemberships[number]->Live()) {
        count += vm.id == mVms[aNumber].id ? 1 : 0;
      }
    }
    return count;
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

  void Restart(std::size_t aNumber)
  {
    mFailed.reset();
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

  // Messages arrive at once. Replies are sent in the receiver's next step.
  void Send(std::size_t aNumber)
  {
    constexpr unsigned kPerMille = 1000;
    for (const auto& send : mMemberships[aNumber]->TakeHeartbeats()) {
      ++mSent;
      const auto to = mNumbers.at(send.to.id);
      if (mFailed != to && mGenerator() % kPerMille >= mLoss) {
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
  std::optional<std::size_t> mFailed;
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
  { "current size", 8, 3, 0 },
  { "current size with message loss", 8, 3, 100 },
  { "a hundred VMs", 100, 60, 0 },
  { "a hundred VMs with message loss", 100, 60, 10 },
};

constexpr std::size_t kFailedVm = 5;

} // namespace

TEST_GROUP(fleet){};

// The failure and the return of a VM become known at every other VM within a
// bounded time, although the listing shows neither.
TEST(fleet, a_loss_and_a_return_reach_everyone)
{
  for (const auto& row : kFleetRows) {
    fleet subject(row.vms, row.groups, row.lossPerMille);
    subject.Run(milliseconds{ 4000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.vms - 1, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Fail(kFailedVm);
    subject.Run(milliseconds{ 3000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      0, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Run(milliseconds{ 12000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      0, subject.CountConsideringLive(kFailedVm), row.name);
    subject.Restart(kFailedVm);
    subject.Run(milliseconds{ 12000 });
    UNSIGNED_LONGS_EQUAL_TEXT(
      row.vms - 1, subject.CountConsideringLive(kFailedVm), row.name);
  }
}

// Without failures no VM is considered failed, and the number of messages per
// VM is bounded.
TEST(fleet, a_fleet_without_failures_does_not_change)
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
    // Seven intervals per second, each with the fanout, the co-owners and the
    // replies to neighbours.
    constexpr std::uint64_t kMaxMessages = 119;
    CHECK_TEXT(perSecond <= kMaxMessages, row.name);
  }
}
