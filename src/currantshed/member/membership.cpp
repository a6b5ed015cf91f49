#include "currantshed/member/membership.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "currantshed/member/gossip_queue.hpp"
#include "currantshed/member/peer_table.hpp"
#include "currantshed/member/peers.hpp"

namespace currantshed::member {

namespace {

// One heartbeat in this many includes a peer sample: the sample is a third of
// the message size, and new VMs are rare.
constexpr std::uint64_t kPeerSampleInterval = 4;

class gossip_membership final : public membership
{
public:
  gossip_membership(const membership_settings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mSelf(aSettings.self)
    , mSeed(aSeed)
    , mPeers(aSettings)
  {
    Rebuild();
  }

  void Listed(const std::vector<store::vm>& aVms,
              clock::time_point aNow) override
  {
    Advance(aNow);
    mPeers.Listed(aVms, mNow);
    Refresh();
  }

  void HeartbeatArrived(const heartbeat& aHeartbeat,
                        clock::time_point aNow) override
  {
    Advance(aNow);
    if (aHeartbeat.sender.id == mSelf.id ||
        !mPeers.RecordHeartbeat(aHeartbeat, mNow)) {
      return;
    }
    mGossip.EraseLost(aHeartbeat.sender.id);
    if (aHeartbeat.answer) {
      mReplyTo.insert(aHeartbeat.sender.id);
    }
    for (const auto& vm : aHeartbeat.peerSample) {
      mPeers.AddUnconfirmed(vm, mNow);
    }
    bool changed = mPeers.NeedsEvaluation(aHeartbeat.sender.id);
    for (const auto& report : aHeartbeat.lost) {
      if (mPeers.RecordLost(report, mNow)) {
        mGossip.SetLost(report);
        changed = true;
      }
    }
    if (changed) {
      Refresh();
    }
  }

  void SetConfiguration(std::uint64_t aVersion) override
  {
    if (aVersion > mConfiguration) {
      mConfiguration = aVersion;
      mSendNow = true;
    }
  }

  void SetSuspicion(const failover::suspicion& aSuspicion) override
  {
    mGossip.SetSuspicion(aSuspicion);
    mSendNow = true;
  }

  void SetTerm(const term_update& aUpdate) override
  {
    mSendNow = mGossip.SetTerm(aUpdate) || mSendNow;
  }

  void SetGroups(const std::vector<group::group_name>& aGroups) override
  {
    if (mGroups != aGroups) {
      mGroups = aGroups;
      FindCoOwners();
      Refresh();
    }
  }

  void Leave() override
  {
    if (!mSelf.leaving) {
      mSelf.leaving = true;
      mSendNow = true;
      Rebuild();
    }
  }

  void Tick(clock::time_point aNow) override
  {
    Advance(aNow);
    if (mNow >= std::min(mNextHeartbeat, mNextChange)) {
      mPeers.RemoveExpired(mNow);
      Refresh();
    }
  }

  [[nodiscard]] clock::time_point NextTick() const noexcept override
  {
    const bool isImmediate = mSendNow || !mReplyTo.empty();
    return isImmediate ? mNow : std::min(mNextHeartbeat, mNextChange);
  }

  [[nodiscard]] std::vector<outgoing_heartbeat> TakeHeartbeats() override
  {
    const bool due = mNow >= mNextHeartbeat;
    const bool toAll = due || mSendNow;
    if (!toAll && mReplyTo.empty()) {
      return {};
    }
    if (due) {
      mNextHeartbeat = mNow + mSettings.interval;
    }
    mSendNow = false;
    ++mSequence;
    const auto message = Compose();
    const auto receivers = toAll ? Receivers() : std::vector<store::vm>{};
    for (const auto& vm : receivers) {
      mReplyTo.erase(vm.id);
    }
    auto sends = Address(message, receivers);
    for (auto& send : Address(message, ReplyReceivers())) {
      sends.push_back(std::move(send));
    }
    mReplyTo.clear();
    return sends;
  }

  [[nodiscard]] std::vector<store::vm> Live() const override { return mLive; }

  [[nodiscard]] std::vector<store::vm> Owners(
    const group::group_name& aGroup) const override
  {
    return ChooseOwners(aGroup, mLive, mSettings.owners);
  }

  [[nodiscard]] std::uint64_t Version() const noexcept override
  {
    return mVersion;
  }

private:
  void Advance(clock::time_point aNow) { mNow = std::max(mNow, aNow); }

  void Refresh()
  {
    SetMonitored();
    const bool changed = mPeers.UpdateLiveness(mNow);
    for (const auto& report : mPeers.TakeNewLosses(mNow)) {
      mGossip.SetLost(report);
    }
    if (changed) {
      Rebuild();
    }
    mNextChange = mPeers.NextChange(mNow);
  }

  // Recomputes the live VMs, and with them the neighbours and the monitored
  // VMs.
  void Rebuild()
  {
    auto live = mPeers.Live();
    mNeighbours = RingNeighbours(mSelf, live, mSettings.fanout / 2);
    live.push_back(mSelf);
    std::sort(
      live.begin(), live.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.id < aRight.id;
      });
    if (live != mLive) {
      mLive = std::move(live);
      ++mVersion;
      FindCoOwners();
    }
    SetMonitored();
  }

  void SetMonitored()
  {
    auto monitored = mNeighbours;
    monitored.insert(mCoOwners.begin(), mCoOwners.end());
    mPeers.SetMonitored(monitored, mNow);
  }

  void FindCoOwners()
  {
    mCoOwners.clear();
    for (const auto& group : mGroups) {
      const auto owners = Owners(group);
      const bool own =
        std::any_of(owners.begin(), owners.end(), [this](const auto& aVm) {
          return aVm.id == mSelf.id;
        });
      for (const auto& vm : owners) {
        if (own && vm.id != mSelf.id) {
          mCoOwners.insert(vm.id);
        }
      }
    }
  }

  [[nodiscard]] heartbeat Compose()
  {
    heartbeat message;
    message.sender = mSelf;
    message.incarnation = mSettings.incarnation;
    message.sequence = mSequence;
    message.configuration = mConfiguration;
    if (mSequence % kPeerSampleInterval == 0) {
      message.peerSample =
        mPeers.SampleRecent(mSequence / kPeerSampleInterval, mNow);
    }
    mGossip.Fill(message);
    return message;
  }

  [[nodiscard]] std::vector<store::vm> Receivers() const
  {
    const auto others = mPeers.All();
    return ChoosePeers({ mSelf,
                         others,
                         mNeighbours,
                         mCoOwners,
                         mSettings.fanout,
                         mSeed,
                         mSequence });
  }

  [[nodiscard]] std::vector<store::vm> ReplyReceivers() const
  {
    std::vector<store::vm> receivers;
    for (const auto& id : mReplyTo) {
      if (const auto vm = mPeers.Find(id)) {
        receivers.push_back(*vm);
      }
    }
    return receivers;
  }

  // Requests a reply from monitored VMs whose heartbeat is overdue.
  [[nodiscard]] std::vector<outgoing_heartbeat> Address(
    const heartbeat& aHeartbeat,
    const std::vector<store::vm>& aReceivers) const
  {
    std::vector<outgoing_heartbeat> sends;
    sends.reserve(aReceivers.size());
    for (const auto& vm : aReceivers) {
      sends.push_back({ vm, aHeartbeat });
      sends.back().message.answer = mPeers.IsOverdue(vm.id, mNow);
    }
    return sends;
  }

  membership_settings mSettings;
  store::vm mSelf;
  std::uint64_t mSeed;
  peer_table mPeers;
  gossip_queue mGossip;
  clock::time_point mNow;
  clock::time_point mNextHeartbeat;
  clock::time_point mNextChange = clock::time_point::max();
  bool mSendNow = false;
  std::uint64_t mSequence = 0;
  std::uint64_t mConfiguration = 0;
  std::uint64_t mVersion = 0;
  std::vector<group::group_name> mGroups;
  absl::flat_hash_set<std::string> mNeighbours;
  absl::flat_hash_set<std::string> mCoOwners;
  absl::flat_hash_set<std::string> mReplyTo;
  std::vector<store::vm> mLive;
};

} // namespace

std::unique_ptr<membership>
MakeMembership(const membership_settings& aSettings, std::uint64_t aSeed)
{
  return std::make_unique<gossip_membership>(aSettings, aSeed);
}

} // namespace currantshed::member
