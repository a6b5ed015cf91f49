#include "currantshed/member/membership.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "currantshed/member/gossip_queue.hpp"
#include "currantshed/member/peer_table.hpp"
#include "currantshed/member/peers.hpp"

namespace currantshed::member {

namespace {

// Heartbeats of which one names a VM heard of: it is a third of their size,
// and new VMs are few.
constexpr std::uint64_t kPeerSampleInterval = 4;

class gossip_membership final : public membership
{
public:
  gossip_membership(const membership_settings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mSelf(aSettings.self)
    , mSeed(aSeed)
    , mTable(aSettings)
  {
    Rebuild();
  }

  void Listed(const std::vector<store::vm>& aVms,
              clock::time_point aNow) override
  {
    Advance(aNow);
    mTable.Listed(aVms, mNow);
    Refresh();
  }

  void HeartbeatArrived(const heartbeat& aBeat, clock::time_point aNow) override
  {
    Advance(aNow);
    if (aBeat.sender.id == mSelf.id || !mTable.RecordHeartbeat(aBeat, mNow)) {
      return;
    }
    mGossip.EraseLost(aBeat.sender.id);
    if (aBeat.answer) {
      mReplyTo.insert(aBeat.sender.id);
    }
    for (const auto& vm : aBeat.peerSample) {
      mTable.AddUnconfirmed(vm, mNow);
    }
    bool changed = mTable.NeedsEvaluation(aBeat.sender.id);
    for (const auto& word : aBeat.lost) {
      if (mTable.RecordLost(word, mNow)) {
        mGossip.SetLost(word);
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

  void SetSuspicion(const failover::suspicion& aWord) override
  {
    mGossip.SetSuspicion(aWord);
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
    if (mNow >= std::min(mNextBeat, mNextChange)) {
      mTable.RemoveExpired(mNow);
      Refresh();
    }
  }

  [[nodiscard]] clock::time_point NextTick() const noexcept override
  {
    const bool atOnce = mSendNow || !mReplyTo.empty();
    return atOnce ? mNow : std::min(mNextBeat, mNextChange);
  }

  [[nodiscard]] std::vector<outgoing_heartbeat> TakeHeartbeats() override
  {
    const bool due = mNow >= mNextBeat;
    const bool toAll = due || mSendNow;
    if (!toAll && mReplyTo.empty()) {
      return {};
    }
    if (due) {
      mNextBeat = mNow + mSettings.interval;
    }
    mSendNow = false;
    ++mSequence;
    const auto beat = Compose();
    const auto receivers = toAll ? Receivers() : std::vector<store::vm>{};
    for (const auto& vm : receivers) {
      mReplyTo.erase(vm.id);
    }
    auto sends = Address(beat, receivers);
    for (auto& send : Address(beat, ReplyReceivers())) {
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
    Watch();
    const bool changed = mTable.UpdateLiveness(mNow);
    for (const auto& word : mTable.TakeNewLosses(mNow)) {
      mGossip.SetLost(word);
    }
    if (changed) {
      Rebuild();
    }
    mNextChange = mTable.NextChange(mNow);
  }

  // Makes the view anew, and with it who is watched.
  void Rebuild()
  {
    auto live = mTable.Live();
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
    Watch();
  }

  void Watch()
  {
    auto watched = mNeighbours;
    watched.insert(mCoOwners.begin(), mCoOwners.end());
    mTable.Watch(watched, mNow);
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
    heartbeat beat;
    beat.sender = mSelf;
    beat.incarnation = mSettings.incarnation;
    beat.sequence = mSequence;
    beat.configuration = mConfiguration;
    if (mSequence % kPeerSampleInterval == 0) {
      beat.peerSample =
        mTable.SampleRecent(mSequence / kPeerSampleInterval, mNow);
    }
    mGossip.Fill(beat);
    return beat;
  }

  [[nodiscard]] std::vector<store::vm> Receivers() const
  {
    const auto others = mTable.All();
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
    std::vector<store::vm> askers;
    for (const auto& id : mReplyTo) {
      if (const auto vm = mTable.Find(id)) {
        askers.push_back(*vm);
      }
    }
    return askers;
  }

  // A watched VM that does not send by itself is asked to answer.
  [[nodiscard]] std::vector<outgoing_heartbeat> Address(
    const heartbeat& aBeat,
    const std::vector<store::vm>& aReceivers) const
  {
    std::vector<outgoing_heartbeat> sends;
    sends.reserve(aReceivers.size());
    for (const auto& vm : aReceivers) {
      sends.push_back({ vm, aBeat });
      sends.back().message.answer = mTable.IsOverdue(vm.id, mNow);
    }
    return sends;
  }

  membership_settings mSettings;
  store::vm mSelf;
  std::uint64_t mSeed;
  peer_table mTable;
  gossip_queue mGossip;
  clock::time_point mNow;
  clock::time_point mNextBeat;
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
