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
constexpr milliseconds kPrimaryPause{ 150 };
constexpr milliseconds kStandbyPause{ 300 };
// A VM whose forwarders have forwarded nothing for this long sends its reach
// updates directly to the VMs that monitor groups, which answer it.
constexpr milliseconds kForwardingTimeout{ 1200 };
// Maximum number of groups for which one message contains all recent positions,
// 600 bytes each: the message must stay far below the receiver's limit of 256
// KB and must not saturate a slow link. For other groups only the newest
// position is sent.
constexpr std::size_t kMaxGroupsWithSamples = 32;
// Minimum pause between two queries about a primary that does not answer, and
// how long VMs go on sending reach updates after a query.
constexpr milliseconds kReachQueryInterval{ 500 };
constexpr milliseconds kReachQueryLifetime{ 1200 };

void
FillForwarded(news::Reach& aOut, const forwarded_reach_update& aReach)
{
  Fill(aOut, aReach.service, aReach.update);
  aOut.set_vm(aReach.vm);
  aOut.set_said_at_us(lead::ToWire(aReach.update.sentAt).count());
}

} // namespace

// The VMs that watch updates are sent to: the forwarders of each failure
// domain, all VMs of failure domains without forwarders, and the VMs that send
// reach updates directly because they have no active forwarder.
std::vector<std::string>
control::WatchUpdateRecipients(clock::time_point aNow) const
{
  std::vector<std::string> recipients;
  mMembership.ForEachReachable(aNow, [&](const news::peer& aPeer) {
    const auto found = mClusterState.vms.find(aPeer.vm);
    const bool isListed = found != mClusterState.vms.end();
    const bool hasForwarders =
      isListed &&
      mForwardedDomains.contains(found->second.record.failureDomain);
    if (!hasForwarders || mAllForwarders.contains(aPeer.vm) ||
        SendsDirectReachUpdates(aPeer.vm, aNow)) {
      recipients.push_back(aPeer.vm);
    }
  });
  return recipients;
}

// Whether the VM sends reach updates directly to this one although it is not a
// subscriber of it. Messages without a reach update on a group that this VM
// monitors do not count: in a large fleet a lock holder gets messages from most
// VMs.
bool
control::SendsDirectReachUpdates(const std::string& aVm,
                                 clock::time_point aNow) const
{
  return mMembership.SendsDirectReachUpdates(aVm, aNow) &&
         !mSubscribers.Contains(aVm);
}

// Updates the forwarders of each failure domain.
void
control::UpdateForwardersOfAll()
{
  mForwardedDomains.clear();
  mAllForwarders.clear();
  mDomainForwarders.clear();
  // While all VMs start, the recorded ones are expected back shortly.
  std::optional<cluster_state> withRecorded;
  if (!mIsSettled) {
    withRecorded = StateWithRecordedVms();
  }
  const auto& keys = withRecorded ? *withRecorded : mClusterState;
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
control::IsForwardedTo(clock::time_point aNow) const
{
  return !mForwarders.empty() && aNow < mForwardedAt + kForwardingTimeout &&
         !IsUnlisted(aNow);
}

// The VMs that get this VM's reach updates. After this VM has dropped off the
// store's list, new lock holders may not know of it, nor it of them, so it also
// sends them to other VMs, a few at a time. Sending them to all at once would
// open a connection to each: a third of 295 VMs cut off from the store opened
// about 30,000 connections. Holders whose groups this VM does not use remember
// it for a while after it has dropped off the list, and need no reach update
// until that time is nearly over.
std::vector<std::string>
control::ReachUpdateRecipients(clock::time_point aNow)
{
  if (IsForwardedTo(aNow)) {
    return mForwarders;
  }
  if (IsLongUnlisted(aNow)) {
    auto recipients = LockHolders();
    AppendMissing(recipients, SelectFewVms(aNow));
    return recipients;
  }
  auto recipients = SelectLockHolders();
  for (const auto& service : ReachUpdateGroups()) {
    auto holder = LockHolderOf(service);
    if (!holder.empty() && holder != mSelf.where.vm) {
      AppendMissing(recipients, { std::move(holder) });
    }
  }
  if (IsUnlisted(aNow)) {
    AppendMissing(recipients, SelectFewVms(aNow));
  }
  return recipients;
}

// The VMs that get this VM's acknowledgement of a revoked term.
std::vector<std::string>
control::AcknowledgementRecipients(const std::string& aService,
                                   clock::time_point aNow) const
{
  if (IsForwardedTo(aNow)) {
    return mForwarders;
  }
  const auto holder = LockHolderOf(aService);
  if (holder.empty() || holder == mSelf.where.vm) {
    return {};
  }
  return { holder };
}

// The watch update of a group for this VM's subscribers.
lead::watch_update
control::WatchUpdateOf(const group& aGroup)
{
  const auto& monitor = aGroup.monitor;
  return monitor.AnnouncesStatus() ? monitor.WatchUpdate()
                                   : monitor.ForwardedUpdate();
}

// Sends the recent watch updates of groups that are new in a VM's subscription,
// with the oldest position first.
void
control::SendRecentUpdates(const std::string& aVm,
                           const std::vector<std::string>& aServices,
                           clock::time_point aNow)
{
  news::News message;
  std::size_t groupsWithSamples = 0;
  for (const auto& service : aServices) {
    const auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    const auto newest = WatchUpdateOf(*found);
    if (++groupsWithSamples <= kMaxGroupsWithSamples) {
      for (const auto& sample : found->recentSamples) {
        auto update = newest;
        update.sample = sample;
        Fill(*message.add_watches(), service, update);
      }
    }
    Fill(*message.add_watches(), service, newest);
  }
  if (message.watches_size() > 0) {
    FillRevisions(message);
    mExchange.Send(aVm, std::move(message), aNow);
  }
}

// Forwards watch updates to this VM's subscribers, to each for the groups that
// it uses. Changes of the primary and revoked terms are sent to all.
void
control::ForwardWatchUpdates(clock::time_point aNow)
{
  if (mSubscribers.Empty()) {
    return;
  }
  const bool isFirst =
    !mDomainForwarders.empty() && mDomainForwarders.front() == mSelf.where.vm;
  absl::flat_hash_map<std::string, lead::watch_update> updates;
  absl::flat_hash_set<std::string> forAllSubscribers;
  for (auto& service : mForwardingBatch.TakeGroups(
         isFirst ? kPrimaryPause : kStandbyPause, aNow)) {
    auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    auto update = WatchUpdateOf(*found);
    if (std::exchange(found->isForAllSubscribers, false) ||
        update.revokedTerm != 0) {
      forAllSubscribers.insert(service);
    }
    updates.emplace(std::move(service), std::move(update));
  }
  if (updates.empty()) {
    return;
  }
  for (const auto& vm : mSubscribers.All()) {
    news::News message;
    auto wanted = mSubscribers.GroupsOf(vm);
    wanted.insert(forAllSubscribers.begin(), forAllSubscribers.end());
    for (const auto& service : wanted) {
      const auto found = updates.find(service);
      if (found != updates.end()) {
        Fill(*message.add_watches(), service, found->second);
      }
    }
    message.set_passes_on(true);
    FillRevisions(message);
    mExchange.Send(vm, std::move(message), aNow);
  }
}

// Processes the reach update of another VM if this VM monitors the group, or
// else queues it to be forwarded.
void
control::ApplyReachUpdate(const std::string& aFrom,
                          const std::string& aService,
                          const lead::reach_update& aReach,
                          clock::time_point aNow)
{
  const auto holder = LockHolderOf(aService);
  const bool isSubscriber = mSubscribers.Contains(aFrom);
  if (isSubscriber && !holder.empty() && holder != mSelf.where.vm) {
    mForwardingBatch.AddReachUpdate({ aService, aFrom, aReach }, aNow);
    return;
  }
  mMembership.MarkSeen(aFrom, aNow);
  if (auto* found = MarkPending(aService)) {
    found->monitor.ReachUpdateReceived(aFrom, aReach, aNow);
  }
}

// Queries the forwarders for other VMs' reach updates on a primary that this VM
// monitors and that does not answer it. They are sent only on query, because
// otherwise they would cost the forwarders a message per group every quarter of
// a second.
void
control::SendReachQueries(const std::vector<std::string>& aPending,
                          clock::time_point aNow)
{
  news::News message;
  for (const auto& service : aPending) {
    auto& one = *Find(service);
    if (one.monitor.SuspectsPrimary(aNow) &&
        aNow >= one.reachQueriedAt + kReachQueryInterval) {
      one.reachQueriedAt = aNow;
      message.add_doubted(service);
    }
  }
  if (message.doubted_size() == 0) {
    return;
  }
  FillRevisions(message);
  for (const auto& vm : mAllForwarders) {
    mExchange.Send(vm, message, aNow);
  }
}

void
control::AnswerReachQueries(const news::News& aMessage, clock::time_point aNow)
{
  news::News message;
  for (const auto& service : aMessage.doubted()) {
    auto* found = Find(service);
    if (found == nullptr) {
      continue;
    }
    found->reachWantedUntil = aNow + kReachQueryLifetime;
    if (!found->latestReach.vm.empty()) {
      FillForwarded(*message.add_reaches(), found->latestReach);
    }
  }
  if (message.reaches_size() > 0) {
    FillRevisions(message);
    mExchange.Send(aMessage.vm(), std::move(message), aNow);
  }
}

// Forwards reach updates to the VM that monitors the group if it has queried
// them. Acknowledgements of revoked terms are always forwarded.
void
control::ForwardReachUpdates(clock::time_point aNow)
{
  absl::btree_map<std::string, news::News> messages;
  for (auto& one : mForwardingBatch.TakeReachUpdates(aNow)) {
    const auto holder = LockHolderOf(one.service);
    auto* found = Find(one.service);
    if (holder.empty() || holder == mSelf.where.vm || found == nullptr) {
      continue;
    }
    if (one.update.acknowledgedTerm != 0 || aNow < found->reachWantedUntil) {
      FillForwarded(*messages[holder].add_reaches(), one);
    }
    found->latestReach = std::move(one);
  }
  for (auto& [holder, news] : messages) {
    FillRevisions(news);
    mExchange.Send(holder, std::move(news), aNow);
  }
}

} // namespace currantshed::node
