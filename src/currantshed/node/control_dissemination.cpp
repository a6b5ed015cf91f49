// Dissemination of watch updates and reach updates by way of the forwarders. A
// VM sends reach updates to its forwarders, and a VM that monitors a group
// sends watch updates to the forwarders of each failure domain, so that the
// number of connections of neither grows with the number of VMs.
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

// Minimum pauses between two forwarded batches of the first and of the other
// forwarders. A confirmation is requested every 350 ms and is valid for one
// second, and a VM queries a server itself when less than 350 ms are left: a
// confirmation delayed by the pause still arrives in time. The second forwarder
// is a standby for the first and forwards half as often.
constexpr milliseconds kFirstPause{ 150 };
constexpr milliseconds kSecondPause{ 300 };
// A VM whose forwarders have forwarded nothing for this long sends its reach
// updates directly to the VMs that monitor groups, which answer it.
constexpr milliseconds kRelayLife{ 1200 };
// Maximum number of groups for which one message contains all recent positions,
// 600 bytes each: the message must stay far below the receiver's limit of 256
// KB and must not saturate a slow link. For other groups only the newest
// position is sent.
constexpr std::size_t kMostLongWords = 32;
// Minimum pause between two queries about a primary that does not answer, and
// how long VMs go on sending reach updates after a query.
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

// The VMs that watch updates are sent to: the forwarders of each failure
// domain, all VMs of failure domains without forwarders, and the VMs that send
// reach updates directly because they have no active forwarder.
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

// Whether the VM sends reach updates directly to this one although it is not a
// subscriber of it. Messages without a reach update on a group that this VM
// monitors do not count: in a large fleet a lock holder gets messages from most
// VMs.
bool
control::SendsDirectReachUpdates(const std::string& aVm,
                                 clock::time_point aNow) const
{
  return mKnownVms.SendsDirectReachUpdates(aVm, aNow) &&
         !mSubscribers.Contains(aVm);
}

// Updates the forwarders of each failure domain.
void
control::NoteDomains()
{
  mForwardedDomains.clear();
  mAllForwarders.clear();
  mDomainForwarders.clear();
  // While all VMs start, the recorded ones are expected back shortly.
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

// Whether this VM's forwarders forward watch updates to it, and so forward its
// reach updates as well.
bool
control::IsRelayed(clock::time_point aNow) const
{
  return !mForwarders.empty() && aNow < mRelayedAt + kRelayLife &&
         !IsOffTheList(aNow);
}

// The VMs that get this VM's reach updates. After this VM has dropped off the
// store's list, new lock holders may not know of it, nor it of them, so it also
// sends them to other VMs, a few at a time. Sending them to all at once would
// open a connection to each: a third of 295 VMs cut off from the store opened
// about 30,000 connections. Holders whose groups this VM does not use remember
// it for a while after it has dropped off the list, and need no reach update
// until that time is nearly over.
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

// The VMs that get this VM's acknowledgement of a revoked term.
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

// The watch update of a group for this VM's subscribers.
lead::watch_update
control::WordOn(const group& aGroup)
{
  const auto& lead = aGroup.lead;
  return lead.AnnouncesStatus() ? lead.WatchUpdate() : lead.ForwardedUpdate();
}

// Sends the recent watch updates of groups that are new in a VM's subscription,
// with the oldest position first.
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

// Forwards watch updates to this VM's subscribers, to each for the groups that
// it uses. Changes of the primary and revoked terms are sent to all.
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

// Processes the reach update of another VM if this VM monitors the group, or
// else queues it to be forwarded.
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

// Queries the forwarders for other VMs' reach updates on a primary that this VM
// monitors and that does not answer it. They are sent only on query, because
// otherwise they would cost the forwarders a message per group every quarter of
// a second.
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

// Forwards reach updates to the VM that monitors the group if it has queried
// them. Acknowledgements of revoked terms are always forwarded.
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
