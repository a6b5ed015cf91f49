#include "currantshed/node/control.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/node/message_conversion.hpp"
#include "currantshed/node/peer_selection.hpp"

namespace currantshed::node {

namespace {

// Number of VMs selected when any will do.
constexpr std::size_t kFewVms = 6;
// Maximum age at which a primary counts as heard in a reach update: the 600 ms
// for which it counts as reachable, plus the time that two VMs take to forward
// the update.
constexpr std::chrono::milliseconds kMaxReachAge{ 1000 };
// Minimum pause between two watch updates of this VM. A confirmation is
// requested every 350 ms and is valid for one second, and forwarders add a
// pause of their own.
constexpr std::chrono::milliseconds kWatchPause{ 50 };
// Maximum number of VMs that get a confirmation which this VM has obtained
// itself.
constexpr std::size_t kMaxConfirmationRecipients = 24;
// Maximum number of forwarded confirmations sent at once to a VM that has just
// started, about 100 bytes each. It requests the others when its callers need
// them.
constexpr std::size_t kMaxForwardedConfirmations = 128;
// Number of lock holders that are sent a reach update at a time although this
// VM uses none of their groups.
constexpr std::size_t kMaxHoldersPerRound = 16;

} // namespace

// Sends the watch updates of a VM that monitors groups to all others, by way of
// the forwarders. Watch updates are batched.
void
control::SendWatchUpdates(clock::time_point aNow)
{
  news::News message;
  for (const auto& service : mWatchBatch.TakeGroups(kWatchPause, aNow)) {
    const auto* one = Find(service);
    if (one != nullptr && one->monitor.AnnouncesStatus()) {
      Fill(*message.add_watches(), service, one->monitor.WatchUpdate());
    }
  }
  if (message.watches_size() == 0) {
    return;
  }
  FillRevisions(message);
  for (const auto& vm : WatchUpdateRecipients(aNow)) {
    mExchange.Send(vm, message, aNow);
  }
}

// Sends confirmations that this VM has obtained itself, because no VM had
// announced any, to the VMs from which it heard recently. The list may be
// outdated, and a new connection costs a VM that has just started more than a
// query of its own.
void
control::SendOwnConfirmations(const std::vector<std::string>& aPending,
                              clock::time_point aNow)
{
  news::News message;
  for (const auto& service : aPending) {
    auto& one = *Find(service);
    if (std::exchange(one.hasOwnConfirmation, false) &&
        !one.monitor.AnnouncesStatus()) {
      Fill(*message.add_watches(), service, one.monitor.WatchUpdate());
    }
  }
  if (message.watches_size() == 0) {
    return;
  }
  FillRevisions(message);
  for (const auto& vm : SelectRoundRobin(mMembership.RecentlyHeard(aNow),
                                         kMaxConfirmationRecipients,
                                         mRound++)) {
    mExchange.Send(vm, message, aNow);
  }
}

// Sends the watch updates of groups that this VM monitors, and the valid
// confirmations that it knows of groups that no VM monitors. Subscribers also
// get forwarded confirmations of other groups.
void
control::SendKnownConfirmations(const std::string& aVm, clock::time_point aNow)
{
  news::News message;
  std::size_t forwarded = 0;
  const bool isSubscriber = mSubscribers.Contains(aVm);
  for (const auto& [service, one] : mGroups) {
    const auto& confirmation = one->monitor.Confirmation();
    const bool holds = aNow < confirmation.askedAt + mMonitorSettings.validity;
    if (one->monitor.AnnouncesStatus() || (holds && !mLocks.IsHeld(service))) {
      Fill(*message.add_watches(), service, one->monitor.WatchUpdate());
    } else if (holds && isSubscriber &&
               forwarded < kMaxForwardedConfirmations) {
      ++forwarded;
      Fill(*message.add_watches(), service, one->monitor.ForwardedUpdate());
    }
  }
  FillRevisions(message);
  mExchange.Send(aVm, std::move(message), aNow);
}

// Sends reach updates on the primaries that the traffic thread hears to the VMs
// that monitor them.
void
control::SendReachUpdates(clock::time_point aNow)
{
  mTraffic.QueryServerContacts(
    aNow - kMaxReachAge, [this](std::vector<proxy::server_contact> aContacts) {
      boost::asio::post(mContext, [this, heard = std::move(aContacts)] {
        OnServerContacts(heard);
      });
    });
}

void
control::OnServerContacts(const std::vector<proxy::server_contact>& aContacts)
{
  const auto now = clock::Now();
  mPrimaryHeardAt.clear();
  for (const auto& one : aContacts) {
    const auto* found = Find(one.service);
    if (found != nullptr &&
        found->monitor.Confirmation().primary == one.server) {
      mPrimaryHeardAt[one.service] = one.at;
    }
  }
  for (const auto& vm : ReachUpdateRecipients(now)) {
    SendReachUpdateTo(vm, false, now);
  }
}

// The groups that this VM may have a reach update on: those whose primary it
// hears, and those with a scheduled action, because this VM queries or monitors
// them or was asked to acknowledge a revocation.
std::vector<std::string>
control::ReachUpdateGroups() const
{
  auto groups = mScheduler.Scheduled();
  for (const auto& [service, at] : mPrimaryHeardAt) {
    groups.push_back(service);
  }
  std::sort(groups.begin(), groups.end());
  groups.erase(std::unique(groups.begin(), groups.end()), groups.end());
  return groups;
}

void
control::FillRevisions(news::News& aOut) const
{
  aOut.set_configuration_change(mConfigurationView.Changed().number);
  aOut.set_configuration_era(mConfigurationView.Changed().era);
  aOut.set_servers_change(mServersView.Changed().number);
  aOut.set_servers_era(mServersView.Changed().era);
  aOut.set_own_change(mClusterView.Changed().number);
  aOut.set_own_era(mClusterView.Changed().era);
}

void
control::SendReachUpdateTo(const std::string& aVm,
                           bool aAsks,
                           clock::time_point aNow)
{
  news::News message;
  message.set_answer(aAsks);
  FillRevisions(message);
  const bool isForAllSubscribers = IsUnlisted(aNow) || IsForwarder(aVm);
  for (const auto& service : ReachUpdateGroups()) {
    const auto* one = Find(service);
    if (one == nullptr ||
        (!isForAllSubscribers && LockHolderOf(service) != aVm)) {
      continue;
    }
    const auto heard = mPrimaryHeardAt.find(service);
    const auto reach = one->monitor.ReachUpdate(
      heard == mPrimaryHeardAt.end() ? std::nullopt
                                     : std::optional(heard->second));
    // A reach update on a primary that was not heard recently is of no use,
    // unless it acknowledges a revocation.
    if (reach.acknowledgedTerm != 0 || aNow - reach.heardAt < kMaxReachAge) {
      Fill(*message.add_reaches(), service, reach);
    }
  }
  mExchange.Send(aVm, std::move(message), aNow);
}

void
control::OnAnnouncement(const news::News& aMessage,
                        const news::exchange::clock_converter& aClock,
                        clock::time_point aNow)
{
  mMembership.OnMessage(aMessage.vm(), aNow);
  const auto heard = ReadRevisions(aMessage);
  const auto views = Views();
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i]->NotifyRevision(heard[i], aNow);
  }
  HandleTokenMessages(aMessage, aClock, aNow);
  AnswerPoll(aMessage, aNow);
  AnswerChunkRequests(aMessage, aNow);
  AnswerReachQueries(aMessage, aNow);
  ApplyKeysUpdates(aMessage, aClock, aNow);
  ApplyChunks(aMessage, aNow);
  PollIfNewer(aMessage, aNow);
  if (aMessage.answer()) {
    SendKnownConfirmations(aMessage.vm(), aNow);
  }
  if (aClock) {
    ApplyWatchUpdates(aMessage, aClock, aNow);
    for (const auto& reach : aMessage.reaches()) {
      if (reach.vm().empty() && LockHolderOf(reach.group()) == mSelf.where.vm) {
        mMembership.OnDirectReachUpdate(aMessage.vm(), aNow);
      }
      ApplyReachUpdate(reach.vm().empty() ? aMessage.vm() : reach.vm(),
                       reach.group(),
                       ReadReach(reach, aMessage.sent_at_us(), aClock),
                       aNow);
    }
  }
  PerformActions(aNow);
}

// Selects a few of the reachable VMs, different ones each time.
std::vector<std::string>
control::SelectFewVms(clock::time_point aNow)
{
  return SelectRoundRobin(mMembership.Reachable(aNow), kFewVms, mRound++);
}

// The other VMs that hold failover locks, as far as this one knows.
std::vector<std::string>
control::LockHolders() const
{
  auto holders = mLocks.Holders();
  std::erase(holders, mSelf.where.vm);
  return holders;
}

// Selects a few of them, different ones each time.
std::vector<std::string>
control::SelectLockHolders()
{
  auto holders = LockHolders();
  const auto count = std::min(kMaxHoldersPerRound, holders.size());
  if (count < holders.size()) {
    const auto first = (mRound++ * count) % holders.size();
    std::rotate(holders.begin(),
                holders.begin() + static_cast<std::ptrdiff_t>(first),
                holders.end());
    holders.resize(count);
  }
  return holders;
}

void
control::ApplyWatchUpdates(const news::News& aMessage,
                           const news::exchange::clock_converter& aClock,
                           clock::time_point aNow)
{
  if (aMessage.passes_on() && IsForwarder(aMessage.vm())) {
    mForwardedAt = aNow;
  }
  for (const auto& watch : aMessage.watches()) {
    if (auto* found = MarkPending(watch.group())) {
      found->monitor.WatchUpdateReceived(ReadWatch(watch, aClock), aNow);
    }
  }
}

} // namespace currantshed::node
