// Words between those that watch groups and all others, by way of the VMs that
// feed a failure domain. A VM speaks to its feeders, and whoever watches a
// group to the feeders of each failure domain, so that the links of neither
// grow with the VMs.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantshed/node/forwarders.hpp"
#include "currantshed/node/message_conversion.hpp"
#include "currantshed/node/peer_selection.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Pause between two times that a feeder passes words on. A proof is asked for
// every 350 ms and holds for a second, and a VM asks by itself once it has less
// than 350 ms left: this much later it still is in time. The second feeder is
// there for when the first one fails, and does with half as many.
constexpr milliseconds kFirstPause{ 150 };
constexpr milliseconds kSecondPause{ 300 };
// A VM that its feeders passed no words on for this long speaks to those that
// watch groups by itself, and they answer.
constexpr milliseconds kRelayLife{ 1200 };
// Groups whose last positions one message tells, 600 bytes each: it must stay
// far below the 256 KB that a VM takes, and not fill a slow link. For others
// their newest one has to do.
constexpr std::size_t kMostLongWords = 32;
// Pause between two questions about a primary that does not answer, and how
// long each of them is answered.
constexpr milliseconds kDoubtPause{ 500 };
constexpr milliseconds kReachWanted{ 1200 };

void
FillRelayed(news::Reach& aOut, const forwarded_reach_update& aReach)
{
  Fill(aOut, aReach.service, aReach.news);
  aOut.set_vm(aReach.vm);
  aOut.set_said_at_us(lead::ToWire(aReach.news.sentAt).count());
}

} // namespace

// To whom a VM that watches groups speaks: the feeders of each failure domain,
// all VMs of those without, and the VMs that speak to it since they have nobody
// who passes words on.
std::vector<std::string>
control::Audience(clock::time_point aNow) const
{
  std::vector<std::string> audience;
  mKnownVms.ForEachReachable(aNow, [&](const news::peer& aPeer) {
    const auto found = mOwnKeys.vms.find(aPeer.vm);
    const bool isListed = found != mOwnKeys.vms.end();
    const bool hasForwarders =
      isListed &&
      mForwardedDomains.contains(found->second.record.failureDomain);
    if (!hasForwarders || mAllForwarders.contains(aPeer.vm) ||
        SendsDirectReachUpdates(aPeer.vm, aNow)) {
      audience.push_back(aPeer.vm);
    }
  });
  return audience;
}

// Whether the VM has told this one of a primary by itself, though others could
// pass its words on. Those that this VM feeds speak to it as a feeder. Any
// other word asks for nothing: in a large fleet a holder of duties hears one
// from most VMs.
bool
control::SendsDirectReachUpdates(const std::string& aVm,
                                 clock::time_point aNow) const
{
  return mKnownVms.SendsDirectReachUpdates(aVm, aNow) &&
         !mSubscribers.Contains(aVm);
}

// Who feeds which failure domain.
void
control::NoteDomains()
{
  mForwardedDomains.clear();
  mAllForwarders.clear();
  mDomainForwarders.clear();
  // While all start, those that are recorded will be back in a moment.
  std::optional<cluster_state> withRecorded;
  if (!mIsSettled) {
    withRecorded = WithRecorded();
  }
  const auto& keys = withRecorded ? *withRecorded : mOwnKeys;
  absl::flat_hash_set<std::string> domains;
  for (const auto& [name, one] : keys.vms) {
    domains.insert(one.record.failureDomain);
  }
  for (const auto& domain : domains) {
    const auto forwarders = SelectForwarders(keys, domain);
    if (!forwarders.empty()) {
      mForwardedDomains.insert(domain);
      mAllForwarders.insert(forwarders.begin(), forwarders.end());
    }
    if (domain == mSelf.failureDomain) {
      mDomainForwarders = forwarders;
    }
  }
}

// Whether this VM's feeders pass words on to it, and so take its own.
bool
control::IsRelayed(clock::time_point aNow) const
{
  return !mForwarders.empty() && aNow < mRelayedAt + kRelayLife &&
         !IsOffTheList(aNow);
}

// Those that are told what this VM hears of the primaries. Whoever holds the
// duties by now may not know of a VM that the store lists no longer, nor that
// VM of a new holder: it speaks to others as well. To all at once would cost a
// link to each: a third of 295 VMs cut off from the store opened some 30,000.
// Those whose groups it does not use remember a VM for a while after it has
// left the list, and need no word before that time is nearly over.
std::vector<std::string>
control::ReachAudience(clock::time_point aNow)
{
  if (IsRelayed(aNow)) {
    return mForwarders;
  }
  if (IsLongOffTheList(aNow)) {
    auto told = DutyHolders();
    AppendMissing(told, NextFew(aNow));
    return told;
  }
  auto told = SomeDutyHolders();
  for (const auto& service : ToldGroups()) {
    auto holder = HolderOf(service);
    if (!holder.empty() && holder != mSelf.where.vm) {
      AppendMissing(told, { std::move(holder) });
    }
  }
  if (IsOffTheList(aNow)) {
    AppendMissing(told, NextFew(aNow));
  }
  return told;
}

// Those that are told that this VM has given a term up.
std::vector<std::string>
control::ObedienceAudience(const std::string& aService,
                           clock::time_point aNow) const
{
  if (IsRelayed(aNow)) {
    return mForwarders;
  }
  const auto holder = HolderOf(aService);
  if (holder.empty() || holder == mSelf.where.vm) {
    return {};
  }
  return { holder };
}

// What this VM says on a group to those that it feeds.
lead::watch_update
control::WordOn(const group& aGroup)
{
  const auto& lead = aGroup.lead;
  return lead.AnnouncesStatus() ? lead.WatchUpdate() : lead.ForwardedUpdate();
}

// The same as it was told over the last seconds, to one that has had no word on
// the groups: the oldest position first.
void
control::SendRecent(const std::string& aVm,
                    const std::vector<std::string>& aServices,
                    clock::time_point aNow)
{
  news::News told;
  std::size_t longWords = 0;
  for (const auto& service : aServices) {
    const auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    const auto newest = WordOn(*found);
    if (++longWords <= kMostLongWords) {
      for (const auto& sample : found->recent) {
        auto word = newest;
        word.sample = sample;
        Fill(*told.add_watches(), service, word);
      }
    }
    Fill(*told.add_watches(), service, newest);
  }
  if (told.watches_size() > 0) {
    FillChanges(told);
    mNews.Send(aVm, std::move(told), aNow);
  }
}

// Passes words of those that watch groups on to the VMs that this one feeds, to
// each on the groups that it uses. That another primary leads, or a term is
// revoked, all must know.
void
control::PassWords(clock::time_point aNow)
{
  if (mSubscribers.Empty()) {
    return;
  }
  const bool isFirst =
    !mDomainForwarders.empty() && mDomainForwarders.front() == mSelf.where.vm;
  absl::flat_hash_map<std::string, lead::watch_update> words;
  absl::flat_hash_set<std::string> forAll;
  for (auto& service :
       mRelays.TakeGroups(isFirst ? kFirstPause : kSecondPause, aNow)) {
    auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    auto word = WordOn(*found);
    if (std::exchange(found->isForAll, false) || word.revokedTerm != 0) {
      forAll.insert(service);
    }
    words.emplace(std::move(service), std::move(word));
  }
  if (words.empty()) {
    return;
  }
  for (const auto& vm : mSubscribers.All()) {
    news::News told;
    auto wanted = mSubscribers.GroupsOf(vm);
    wanted.insert(forAll.begin(), forAll.end());
    for (const auto& service : wanted) {
      const auto found = words.find(service);
      if (found != words.end()) {
        Fill(*told.add_watches(), service, found->second);
      }
    }
    told.set_passes_on(true);
    FillChanges(told);
    mNews.Send(vm, std::move(told), aNow);
  }
}

// Takes another VM's word on its way to a primary: for this VM if it watches
// the group, else to be passed on.
void
control::TakeReach(const std::string& aFrom,
                   const std::string& aService,
                   const lead::reach_update& aReach,
                   clock::time_point aNow)
{
  const auto holder = HolderOf(aService);
  const bool isSubscriber = mSubscribers.Contains(aFrom);
  if (isSubscriber && !holder.empty() && holder != mSelf.where.vm) {
    mRelays.AddReachUpdate({ aService, aFrom, aReach }, aNow);
    return;
  }
  mKnownVms.Seen(aFrom, aNow);
  if (auto* found = Touch(aService)) {
    found->lead.ReachUpdateReceived(aFrom, aReach, aNow);
  }
}

// A primary that this VM watches does not answer it: the VMs that pass words on
// are asked what others hear of it. All the while, words that nobody needs
// would cost them a message for each group and quarter of a second.
void
control::SendDoubts(const std::vector<std::string>& aTouched,
                    clock::time_point aNow)
{
  news::News told;
  for (const auto& service : aTouched) {
    auto& one = *Find(service);
    if (one.lead.SuspectsPrimary(aNow) && aNow >= one.doubtedAt + kDoubtPause) {
      one.doubtedAt = aNow;
      told.add_doubted(service);
    }
  }
  if (told.doubted_size() == 0) {
    return;
  }
  FillChanges(told);
  for (const auto& vm : mAllForwarders) {
    mNews.Send(vm, told, aNow);
  }
}

void
control::HeardDoubts(const news::News& aNews, clock::time_point aNow)
{
  news::News told;
  for (const auto& service : aNews.doubted()) {
    auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    found->reachWantedUntil = aNow + kReachWanted;
    if (!found->freshest.vm.empty()) {
      FillRelayed(*told.add_reaches(), found->freshest);
    }
  }
  if (told.reaches_size() > 0) {
    FillChanges(told);
    mNews.Send(aNews.vm(), std::move(told), aNow);
  }
}

// Words on primaries go to whoever watches the group where it asked for them,
// and those that give a term up in any case.
void
control::PassReaches(clock::time_point aNow)
{
  absl::btree_map<std::string, news::News> told;
  for (auto& one : mRelays.TakeReachUpdates(aNow)) {
    const auto holder = HolderOf(one.service);
    auto* found = Find(one.service);
    if (holder.empty() || holder == mSelf.where.vm || found == nullptr) {
      continue;
    }
    if (one.news.acknowledgedTerm != 0 || aNow < found->reachWantedUntil) {
      FillRelayed(*told[holder].add_reaches(), one);
    }
    found->freshest = std::move(one);
  }
  for (auto& [holder, news] : told) {
    FillChanges(news);
    mNews.Send(holder, std::move(news), aNow);
  }
}

} // namespace currantshed::node
