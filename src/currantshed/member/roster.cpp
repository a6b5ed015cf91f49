#include "currantshed/member/roster.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantshed/member/peers.hpp"

namespace currantshed::member {

namespace {

// A term goes out with this many heartbeats, so that one lost message does
// not hide it.
constexpr unsigned kTermRepeats = 10;
// So does the withdrawal of a suspicion.
constexpr unsigned kWithdrawalRepeats = 5;
// VMs that one heartbeat names as heard of.
constexpr std::size_t kHeardOfLimit = 4;
// VMs known by hearsay alone that are kept at a time.
constexpr std::size_t kCandidateLimit = 32;
// Earlier incarnations of one VM whose late heartbeats are told apart.
constexpr std::size_t kPastIncarnations = 4;

// What is known of one other VM.
struct peer_record
{
  std::optional<platform::vm> listed;
  clock::time_point listedSince;
  std::optional<platform::vm> heard;
  clock::time_point heardAt;
  failover::incarnation_id incarnation;
  std::uint64_t sequence = 0;
  std::deque<failover::incarnation_id> past;
  // Known by hearsay, until a heartbeat or the list confirms it.
  std::optional<platform::vm> rumoured;
  clock::time_point rumouredAt;
};

struct repeated_term
{
  term_news news;
  unsigned left = 0;
};

struct repeated_suspicion
{
  failover::suspicion word;
  // Set once the suspicion is withdrawn.
  std::optional<unsigned> left;
};

class hashed_roster final : public roster
{
public:
  hashed_roster(const roster_settings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mSelf(aSettings.self)
    , mSeed(aSeed)
  {
    Refresh();
  }

  void Listed(const std::vector<platform::vm>& aVms,
              clock::time_point aNow) override
  {
    Advance(aNow);
    absl::flat_hash_set<std::string> ids;
    for (const auto& vm : aVms) {
      if (vm.id == mSelf.id) {
        continue;
      }
      ids.insert(vm.id);
      auto& peer = mPeers[vm.id];
      if (!peer.listed) {
        peer.listedSince = mNow;
      }
      peer.listed = vm;
    }
    for (auto& [id, peer] : mPeers) {
      if (!ids.contains(id)) {
        peer.listed.reset();
      }
    }
    Refresh();
  }

  void HeartbeatArrived(const heartbeat& aBeat, clock::time_point aNow) override
  {
    Advance(aNow);
    if (aBeat.sender.id == mSelf.id) {
      return;
    }
    auto& peer = mPeers[aBeat.sender.id];
    if (!Accept(peer, aBeat)) {
      return;
    }
    peer.heard = aBeat.sender;
    peer.heardAt = mNow;
    peer.rumoured.reset();
    for (const auto& vm : aBeat.heardOf) {
      NoteRumour(vm);
    }
    Refresh();
  }

  void SetConfiguration(std::uint64_t aVersion) override
  {
    if (aVersion > mConfiguration) {
      mConfiguration = aVersion;
      mUrgent = true;
    }
  }

  void SetSuspicion(const failover::suspicion& aWord) override
  {
    auto& entry = mSuspicions[aWord.group];
    const bool withdrawn = aWord.primary.empty();
    entry.word = aWord;
    entry.left =
      withdrawn ? std::optional<unsigned>(kWithdrawalRepeats) : std::nullopt;
    mUrgent = true;
  }

  void SetTerm(const term_news& aNews) override
  {
    auto& entry = mTerms[aNews.group];
    if (aNews.term < entry.news.term) {
      return;
    }
    if (aNews.term == entry.news.term && aNews.primary == entry.news.primary) {
      return;
    }
    entry = { aNews, kTermRepeats };
    mUrgent = true;
  }

  void SetGroups(const std::vector<group::group_name>& aGroups) override
  {
    if (mGroups != aGroups) {
      mGroups = aGroups;
      FindCoOwners();
    }
  }

  void Leave() override
  {
    if (!mSelf.leaving) {
      mSelf.leaving = true;
      mUrgent = true;
      Refresh();
    }
  }

  void Tick(clock::time_point aNow) override
  {
    Advance(aNow);
    Forget();
    Refresh();
  }

  [[nodiscard]] clock::time_point NextTick() const noexcept override
  {
    return mUrgent ? mNow : std::min(mNextBeat, mNextChange);
  }

  [[nodiscard]] std::vector<send_heartbeat> TakeHeartbeats() override
  {
    const bool due = mNow >= mNextBeat;
    if (!due && !mUrgent) {
      return {};
    }
    if (due) {
      mNextBeat = mNow + mSettings.interval;
    }
    mUrgent = false;
    ++mSequence;
    return Address(Compose());
  }

  [[nodiscard]] std::vector<platform::vm> Live() const override
  {
    return mLive;
  }

  [[nodiscard]] std::vector<platform::vm> Owners(
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

  // Takes over the sender's incarnation and sequence; false for a heartbeat
  // that is older than what has been heard.
  static bool Accept(peer_record& aPeer, const heartbeat& aBeat)
  {
    if (aPeer.incarnation == aBeat.incarnation) {
      if (aPeer.heard && aBeat.sequence <= aPeer.sequence) {
        return false;
      }
      aPeer.sequence = aBeat.sequence;
      return true;
    }
    const auto& past = aPeer.past;
    if (std::find(past.begin(), past.end(), aBeat.incarnation) != past.end()) {
      return false;
    }
    if (!aPeer.incarnation.empty()) {
      aPeer.past.push_back(aPeer.incarnation);
    }
    if (aPeer.past.size() > kPastIncarnations) {
      aPeer.past.pop_front();
    }
    aPeer.incarnation = aBeat.incarnation;
    aPeer.sequence = aBeat.sequence;
    return true;
  }

  void NoteRumour(const platform::vm& aVm)
  {
    if (aVm.id == mSelf.id) {
      return;
    }
    const auto found = mPeers.find(aVm.id);
    if (found != mPeers.end()) {
      return;
    }
    const auto rumoured =
      std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aEntry) {
        return aEntry.second.rumoured.has_value();
      });
    if (static_cast<std::size_t>(rumoured) >= kCandidateLimit) {
      return;
    }
    auto& peer = mPeers[aVm.id];
    peer.rumoured = aVm;
    peer.rumouredAt = mNow;
  }

  // Whether every VM sends to every other one, so that silence tells.
  [[nodiscard]] bool FullMesh() const
  {
    return mPeers.size() <= mSettings.fanout;
  }

  [[nodiscard]] bool HeardLately(const peer_record& aPeer) const
  {
    return aPeer.heard && mNow - aPeer.heardAt <= mSettings.silentAfter;
  }

  [[nodiscard]] bool IsLive(const std::string& aId,
                            const peer_record& aPeer) const
  {
    if (HeardLately(aPeer)) {
      return true;
    }
    if (!aPeer.listed) {
      return false;
    }
    // A VM that does not send here regularly is judged by the list.
    if (!FullMesh() && !mCoOwners.contains(aId)) {
      return true;
    }
    return !aPeer.heard && mNow - aPeer.listedSince <= mSettings.grace;
  }

  // The sender's own word goes before the lagging list, but leaving is
  // believed from either.
  static platform::vm Described(const peer_record& aPeer)
  {
    if (!aPeer.heard) {
      return aPeer.listed ? *aPeer.listed : *aPeer.rumoured;
    }
    platform::vm vm = *aPeer.heard;
    vm.leaving = vm.leaving || (aPeer.listed && aPeer.listed->leaving);
    return vm;
  }

  void Refresh()
  {
    std::vector<platform::vm> live{ mSelf };
    for (const auto& [id, peer] : mPeers) {
      if (IsLive(id, peer)) {
        live.push_back(Described(peer));
      }
    }
    std::sort(
      live.begin(), live.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.id < aRight.id;
      });
    PlanChange();
    if (live == mLive) {
      return;
    }
    mLive = std::move(live);
    ++mVersion;
    FindCoOwners();
  }

  // When silence alone changes the view next.
  void PlanChange()
  {
    mNextChange = clock::time_point::max();
    for (const auto& [id, peer] : mPeers) {
      if (HeardLately(peer)) {
        Plan(peer.heardAt + mSettings.silentAfter);
      } else if (peer.listed && !peer.heard) {
        Plan(peer.listedSince + mSettings.grace);
      }
    }
  }

  // A bound still counts as within it, so the change comes just after.
  void Plan(clock::time_point aBound)
  {
    if (aBound >= mNow) {
      mNextChange = std::min(mNextChange, aBound + clock::duration{ 1 });
    }
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

  // Drops VMs that neither the list nor a heartbeat speaks of any longer.
  void Forget()
  {
    absl::erase_if(mPeers, [this](const auto& aEntry) {
      const auto& peer = aEntry.second;
      const bool rumoured =
        peer.rumoured && mNow - peer.rumouredAt <= mSettings.grace;
      const bool heard = peer.heard && mNow - peer.heardAt <= mSettings.grace;
      return !peer.listed && !heard && !rumoured;
    });
  }

  [[nodiscard]] heartbeat Compose()
  {
    heartbeat beat;
    beat.sender = mSelf;
    beat.incarnation = mSettings.incarnation;
    beat.sequence = mSequence;
    beat.configuration = mConfiguration;
    beat.heardOf = HeardOf();
    for (const auto& [group, entry] : mSuspicions) {
      beat.suspicions.push_back(entry.word);
    }
    for (const auto& [group, entry] : mTerms) {
      if (entry.left > 0) {
        beat.terms.push_back(entry.news);
      }
    }
    CountRepeats();
    return beat;
  }

  // The words just composed count as sent once.
  void CountRepeats()
  {
    for (auto& [group, entry] : mTerms) {
      entry.left -= entry.left > 0 ? 1 : 0;
    }
    for (auto& [group, entry] : mSuspicions) {
      if (entry.left) {
        --*entry.left;
      }
    }
    absl::erase_if(mSuspicions, [](const auto& aEntry) {
      return aEntry.second.left && *aEntry.second.left == 0;
    });
  }

  // A few of the VMs heard directly, others each time.
  [[nodiscard]] std::vector<platform::vm> HeardOf() const
  {
    std::vector<platform::vm> heard;
    for (const auto& [id, peer] : mPeers) {
      if (HeardLately(peer)) {
        heard.push_back(*peer.heard);
      }
    }
    if (heard.size() > kHeardOfLimit) {
      const auto start = (mSequence * kHeardOfLimit) % heard.size();
      std::rotate(heard.begin(),
                  heard.begin() + static_cast<std::ptrdiff_t>(start),
                  heard.end());
      heard.resize(kHeardOfLimit);
    }
    return heard;
  }

  [[nodiscard]] std::vector<send_heartbeat> Address(const heartbeat& aBeat)
  {
    std::vector<platform::vm> others;
    for (const auto& [id, peer] : mPeers) {
      others.push_back(Described(peer));
    }
    const peer_choice choice{ mSelf, others,   mCoOwners, mSettings.fanout,
                              mSeed, mSequence };
    std::vector<send_heartbeat> sends;
    for (auto& vm : ChoosePeers(choice)) {
      sends.push_back({ std::move(vm), aBeat });
    }
    return sends;
  }

  roster_settings mSettings;
  platform::vm mSelf;
  std::uint64_t mSeed;
  clock::time_point mNow;
  clock::time_point mNextBeat;
  clock::time_point mNextChange = clock::time_point::max();
  bool mUrgent = false;
  std::uint64_t mSequence = 0;
  std::uint64_t mConfiguration = 0;
  std::uint64_t mVersion = 0;
  absl::btree_map<std::string, peer_record> mPeers;
  absl::btree_map<group::group_name, repeated_suspicion> mSuspicions;
  absl::btree_map<group::group_name, repeated_term> mTerms;
  std::vector<group::group_name> mGroups;
  absl::flat_hash_set<std::string> mCoOwners;
  std::vector<platform::vm> mLive;
};

} // namespace

std::unique_ptr<roster>
MakeRoster(const roster_settings& aSettings, std::uint64_t aSeed)
{
  return std::make_unique<hashed_roster>(aSettings, aSeed);
}

} // namespace currantshed::member
