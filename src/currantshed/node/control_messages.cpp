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
constexpr std::chrono::milliseconds kToldReach{ 1000 };
// Minimum pause between two watch updates of this VM. A confirmation is
// requested every 350 ms and is valid for one second, and forwarders add a
// pause of their own.
constexpr std::chrono::milliseconds kWatchPause{ 50 };
// Maximum number of VMs that get a confirmation which this VM has obtained
// itself.
constexpr std::size_t kMostPassedOn = 24;
// Maximum number of forwarded confirmations sent at once to a VM that has just
// started, about 100 bytes each. It requests the others when its callers need
// them.
constexpr std::size_t kMostRelayedProofs = 128;
// Number of lock holders that are sent a reach update at a time although this
// VM uses none of their groups.
constexpr std::size_t kFewHolders = 16;

} // namespace

// Sends the watch updates of a VM that monitors groups to all others, by way of
// the forwarders. Watch updates are batched.
void
control::SendWatch(clock::time_point aNow)
{
  news::News told;
  for (const auto& service : mWatches.TakeGroups(kWatchPause, aNow)) {
    const auto* one = Find(service);
    if (one != nullptr && one->lead.AnnouncesStatus()) {
      Fill(*told.add_watches(), service, one->lead.WatchUpdate());
    }
  }
  if (told.watches_size() == 0) {
    return;
  }
  FillChanges(told);
  for (const auto& vm : Audience(aNow)) {
    mNews.Send(vm, told, aNow);
  }
}

// Sends confirmations that this VM has obtained itself, because no VM had
// announced any, to the VMs from which it heard recently. The list may be
// outdated, and a new connection costs a VM that has just started more than a
// query of its own.
void
control::PassOn(const std::vector<std::string>& aTouched,
                clock::time_point aNow)
{
  news::News told;
  for (const auto& service : aTouched) {
    auto& one = *Find(service);
    if (std::exchange(one.passesOn, false) && !one.lead.AnnouncesStatus()) {
      Fill(*told.add_watches(), service, one.lead.WatchUpdate());
    }
  }
  if (told.watches_size() == 0) {
    return;
  }
  FillChanges(told);
  for (const auto& vm : SelectRoundRobin(
         mKnownVms.RecentlyHeard(aNow), kMostPassedOn, mTurn++)) {
    mNews.Send(vm, told, aNow);
  }
}

// Sends the watch updates of groups that this VM monitors, and the valid
// confirmations that it knows of groups that no VM monitors. Subscribers also
// get forwarded confirmations of other groups.
void
control::AnswerTo(const std::string& aVm, clock::time_point aNow)
{
  news::News told;
  std::size_t relayed = 0;
  const bool isSubscriber = mSubscribers.Contains(aVm);
  for (const auto& [service, one] : mGroups) {
    const auto& confirmation = one->lead.Confirmation();
    const bool holds = aNow < confirmation.askedAt + mLeadSettings.validity;
    if (one->lead.AnnouncesStatus() || (holds && !mDuties.IsHeld(service))) {
      Fill(*told.add_watches(), service, one->lead.WatchUpdate());
    } else if (holds && isSubscriber && relayed < kMostRelayedProofs) {
      ++relayed;
      Fill(*told.add_watches(), service, one->lead.ForwardedUpdate());
    }
  }
  FillChanges(told);
  mNews.Send(aVm, std::move(told), aNow);
}

// Sends reach updates on the primaries that the traffic thread hears to the VMs
// that monitor them.
void
control::SendReach(clock::time_point aNow)
{
  mTraffic.QueryHeardServers(
    aNow - kToldReach, [this](std::vector<proxy::server_contact> aHeard) {
      boost::asio::post(
        mContext, [this, heard = std::move(aHeard)] { HeardServers(heard); });
    });
}

void
control::HeardServers(const std::vector<proxy::server_contact>& aHeard)
{
  const auto now = clock::Now();
  mHeard.clear();
  for (const auto& one : aHeard) {
    const auto* found = Find(one.service);
    if (found != nullptr && found->lead.Confirmation().primary == one.server) {
      mHeard[one.service] = one.at;
    }
  }
  for (const auto& vm : ReachAudience(now)) {
    SendReachTo(vm, false, now);
  }
}

// The groups that this VM may have a reach update on: those whose primary it
// hears, and those with a scheduled action, because this VM queries or monitors
// them or was asked to acknowledge a revocation.
std::vector<std::string>
control::ToldGroups() const
{
  auto told = mAgenda.Scheduled();
  for (const auto& [service, at] : mHeard) {
    told.push_back(service);
  }
  std::sort(told.begin(), told.end());
  told.erase(std::unique(told.begin(), told.end()), told.end());
  return told;
}

void
control::FillChanges(news::News& aOut) const
{
  aOut.set_configuration_change(mConfigurationView.Changed().number);
  aOut.set_configuration_era(mConfigurationView.Changed().era);
  aOut.set_servers_change(mServersView.Changed().number);
  aOut.set_servers_era(mServersView.Changed().era);
  aOut.set_own_change(mOwnView.Changed().number);
  aOut.set_own_era(mOwnView.Changed().era);
}

void
control::SendReachTo(const std::string& aVm, bool aAsks, clock::time_point aNow)
{
  news::News told;
  told.set_answer(aAsks);
  FillChanges(told);
  const bool isForAll = IsOffTheList(aNow) || IsForwarder(aVm);
  for (const auto& service : ToldGroups()) {
    const auto* one = Find(service);
    if (one == nullptr || (!isForAll && HolderOf(service) != aVm)) {
      continue;
    }
    const auto heard = mHeard.find(service);
    const auto reach = one->lead.ReachUpdate(
      heard == mHeard.end() ? std::nullopt : std::optional(heard->second));
    // A reach update on a primary that was not heard recently is of no use,
    // unless it acknowledges a revocation.
    if (reach.acknowledgedTerm != 0 || aNow - reach.heardAt < kToldReach) {
      Fill(*told.add_reaches(), service, reach);
    }
  }
  mNews.Send(aVm, std::move(told), aNow);
}

void
control::Received(const news::News& aNews,
                  const news::exchange::clock_converter& aClock,
                  clock::time_point aNow)
{
  mKnownVms.OnMessage(aNews.vm(), aNow);
  const auto heard = ReadChanges(aNews);
  const auto views = Views();
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i]->NotifyRevision(heard[i], aNow);
  }
  HeardOfTokens(aNews, aClock, aNow);
  AnswerWanted(aNews, aNow);
  AnswerParts(aNews, aNow);
  HeardDoubts(aNews, aNow);
  TakeUpdates(aNews, aClock, aNow);
  TakeParts(aNews, aNow);
  HeardChanges(aNews, aNow);
  if (aNews.answer()) {
    AnswerTo(aNews.vm(), aNow);
  }
  if (aClock) {
    TakeWatches(aNews, aClock, aNow);
    for (const auto& reach : aNews.reaches()) {
      if (reach.vm().empty() && HolderOf(reach.group()) == mSelf.where.vm) {
        mKnownVms.OnDirectReachUpdate(aNews.vm(), aNow);
      }
      TakeReach(reach.vm().empty() ? aNews.vm() : reach.vm(),
                reach.group(),
                ReadReach(reach, aNews.sent_at_us(), aClock),
                aNow);
    }
  }
  Perform(aNow);
}

// Selects a few of the reachable VMs, different ones each time.
std::vector<std::string>
control::NextFew(clock::time_point aNow)
{
  return SelectRoundRobin(mKnownVms.Reachable(aNow), kFewVms, mTurn++);
}

// The other VMs that hold failover locks, as far as this one knows.
std::vector<std::string>
control::DutyHolders() const
{
  auto holders = mDuties.Holders();
  std::erase(holders, mSelf.where.vm);
  return holders;
}

// Selects a few of them, different ones each time.
std::vector<std::string>
control::SomeDutyHolders()
{
  auto holders = DutyHolders();
  const auto count = std::min(kFewHolders, holders.size());
  if (count < holders.size()) {
    const auto first = (mTurn++ * count) % holders.size();
    std::rotate(holders.begin(),
                holders.begin() + static_cast<std::ptrdiff_t>(first),
                holders.end());
    holders.resize(count);
  }
  return holders;
}

void
control::TakeWatches(const news::News& aNews,
                     const news::exchange::clock_converter& aClock,
                     clock::time_point aNow)
{
  if (aNews.passes_on() && IsForwarder(aNews.vm())) {
    mRelayedAt = aNow;
  }
  for (const auto& watch : aNews.watches()) {
    if (auto* found = Touch(watch.group())) {
      found->lead.WatchUpdateReceived(ReadWatch(watch, aClock), aNow);
    }
  }
}

} // namespace currantshed::node
