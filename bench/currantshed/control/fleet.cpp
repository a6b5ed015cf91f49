#include "fleet.hpp"

#include "currantshed/wire/codec.hpp"

namespace currantshed::control_bench {

namespace {

constexpr std::chrono::milliseconds kStep{ 10 };
constexpr std::uint16_t kFirstPort = 7001;
constexpr std::size_t kLargestByte = 250;

} // namespace

std::vector<store::vm>
MakeVms(std::size_t aCount, std::size_t aDomains)
{
  std::vector<store::vm> vms;
  for (std::size_t number = 0; number < aCount; ++number) {
    store::vm vm;
    vm.id = "vm-" + std::to_string(number);
    vm.address = "10.20." + std::to_string(number / kLargestByte) + "." +
                 std::to_string(number % kLargestByte + 1);
    vm.failureDomain = "domain-" + std::to_string(number % aDomains);
    vm.poolerPort = kFirstPort;
    vm.peerPort = kFirstPort + 1;
    vm.statusPort = kFirstPort + 2;
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::vector<group::group_name>
MakeGroups(std::size_t aCount)
{
  std::vector<group::group_name> groups;
  for (std::size_t number = 0; number < aCount; ++number) {
    groups.push_back("group-" + std::to_string(number));
  }
  return groups;
}

fleet::fleet(std::size_t aVms, std::size_t aDomains, std::size_t aGroups)
  : mDomains(aDomains)
  , mVms(MakeVms(aVms, aDomains))
  , mGroups(MakeGroups(aGroups))
  , mMemberships(aVms)
  , mRuns(aVms, true)
{
  for (std::size_t number = 0; number < aVms; ++number) {
    mNumbers[mVms[number].id] = number;
    Start(number);
  }
}

void
fleet::Run(std::chrono::milliseconds aTime)
{
  const auto end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    for (std::size_t number = 0; number < mMemberships.size(); ++number) {
      if (mRuns[number]) {
        mMemberships[number]->Tick(mNow);
        Send(number);
      }
    }
  }
}

void
fleet::LoseDomain(std::size_t aDomain)
{
  for (std::size_t number = 0; number < mRuns.size(); ++number) {
    mRuns[number] = mRuns[number] && number % mDomains != aDomain;
  }
}

void
fleet::Restart()
{
  for (std::size_t number = 0; number < mRuns.size(); ++number) {
    if (!mRuns[number]) {
      mRuns[number] = true;
      Start(number);
    }
  }
}

fleet_counts
fleet::Counts() const
{
  auto counts = mCounts;
  for (const auto& membership : mMemberships) {
    counts.views += membership->Version();
  }
  return counts;
}

void
fleet::Start(std::size_t aNumber)
{
  member::membership_settings settings;
  settings.self = mVms[aNumber];
  settings.incarnation =
    mVms[aNumber].id + "/1790000000000/" + std::to_string(++mStarts);
  mMemberships[aNumber] = member::MakeMembership(settings, mStarts);
  mMemberships[aNumber]->Listed(mVms, mNow);
  mMemberships[aNumber]->SetGroups(mGroups);
}

// Messages arrive at once; answers go out at the receiver's next turn.
void
fleet::Send(std::size_t aNumber)
{
  for (const auto& send : mMemberships[aNumber]->TakeHeartbeats()) {
    ++mCounts.sent;
    mCounts.bytes += wire::Encode(send.message, mNow).size();
    const auto to = mNumbers.at(send.to.id);
    if (mRuns[to]) {
      mMemberships[to]->HeartbeatArrived(send.message, mNow);
    }
  }
}

} // namespace currantshed::control_bench
