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

// How many VMs are spoken to at a time where it does not matter which.
constexpr std::size_t kFewVms = 6;
// How lately a primary must have been heard for that to be told: longer than it
// counts, 600 ms, by what two VMs take to pass it on.
constexpr std::chrono::milliseconds kToldReach{ 1000 };
// Pause between two words on the groups that this VM watches: a proof is asked
// for every 350 ms and holds for a second, and feeders add a pause of theirs.
constexpr std::chrono::milliseconds kWatchPause{ 50 };
// How many VMs are passed on what this one has proved by itself.
constexpr std::size_t kMostPassedOn = 24;
// Proofs of others that a VM which has just started is told at once, some 100
// bytes each. It asks for the rest as its callers come to need them.
constexpr std::size_t kMostRelayedProofs = 128;
// Holders of duties that are spoken to at a time though they hold none of the
// groups that this VM uses.
constexpr std::size_t kFewHolders = 16;

} // namespace

// The word of the VM that watches a group, to all others, by way of feeders. A
// VM that watches many gathers their words for a moment.
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

// Proofs that this VM has put together since nobody told it any, to those that
// spoke lately: the list may be old, and a new link costs a VM that has just
// started more time than a question of its own.
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

// What this VM has proved or been told, where its word counts or nobody's does.
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

// What this VM's traffic hears of the primaries, to those that watch them.
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

// The groups that this VM may have something to say on: those whose primary it
// hears, and those that it asks about, watches, or was told to give up.
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
    // A primary that was not heard lately is kept by no such word.
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

// Some of the VMs that can be told something, others each time.
std::vector<std::string>
control::NextFew(clock::time_point aNow)
{
  return SelectRoundRobin(mKnownVms.Reachable(aNow), kFewVms, mTurn++);
}

// The other VMs that hold duties, as far as this one knows.
std::vector<std::string>
control::DutyHolders() const
{
  auto holders = mDuties.Holders();
  std::erase(holders, mSelf.where.vm);
  return holders;
}

// A few of them, others each time.
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
