#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/node/audience.hpp"
#include "currantshed/node/control_words.hpp"

namespace currantshed::node {

namespace {

// How many VMs are spoken to at a time where it does not matter which.
constexpr std::size_t kFewVms = 6;
// How lately a primary must have been heard for that to be told: longer than it
// counts, 600 ms, by what two VMs take to pass it on.
constexpr std::chrono::milliseconds kToldReach{ 1000 };
// How many VMs are passed on what this one has proved by itself.
constexpr std::size_t kMostPassedOn = 24;

} // namespace

// The word of the VM that watches a group, to all others, by way of feeders.
void
control::SendWatch(clock::time_point aNow)
{
  news::News told;
  for (auto& [service, one] : mGroups) {
    if (std::exchange(one->hasNews, false) && one->lead.Speaks()) {
      Fill(*told.add_watches(), service, one->lead.Watch());
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
control::PassOn(clock::time_point aNow)
{
  news::News told;
  for (auto& [service, one] : mGroups) {
    if (std::exchange(one->passesOn, false) && !one->lead.Speaks()) {
      Fill(*told.add_watches(), service, one->lead.Watch());
    }
  }
  if (told.watches_size() == 0) {
    return;
  }
  FillChanges(told);
  for (const auto& vm :
       SomeOf(mKnownVms.Speaking(aNow), kMostPassedOn, mTurn++)) {
    mNews.Send(vm, told, aNow);
  }
}

// What this VM has proved or been told, where its word counts or nobody's does.
void
control::AnswerTo(const std::string& aVm, clock::time_point aNow)
{
  news::News told;
  for (const auto& [service, one] : mGroups) {
    const auto& proof = one->lead.Proof();
    const bool holds = aNow < proof.askedAt + mLeadSettings.validity;
    if (one->lead.Speaks() || (holds && !HasHolder(mOwnKeys, service))) {
      Fill(*told.add_watches(), service, one->lead.Watch());
    } else if (holds && mSubscribers.Contains(aVm)) {
      Fill(*told.add_watches(), service, one->lead.Relayed());
    }
  }
  FillChanges(told);
  mNews.Send(aVm, std::move(told), aNow);
}

// What this VM's traffic hears of the primaries, to those that watch them.
void
control::SendReach(clock::time_point /*aNow*/)
{
  std::vector<std::string> services;
  std::vector<upstream::server_id> primaries;
  for (const auto& [service, one] : mGroups) {
    services.push_back(service);
    primaries.push_back(one->lead.Proof().primary);
  }
  mTraffic.AskHeard(
    std::move(primaries),
    [this, services = std::move(services)](
      std::vector<std::optional<clock::time_point>> aHeard) mutable {
      boost::asio::post(mContext,
                        [this,
                         services = std::move(services),
                         heard = std::move(aHeard)]() mutable {
                          HeardServers(std::move(services), std::move(heard));
                        });
    });
}

void
control::HeardServers(std::vector<std::string> aServices,
                      std::vector<std::optional<clock::time_point>> aHeard)
{
  const auto now = clock::Now();
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    mHeard[aServices[i]] = aHeard[i];
  }
  for (const auto& vm : ReachAudience(now)) {
    SendReachTo(vm, false, now);
  }
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
  for (const auto& [service, one] : mGroups) {
    const bool isForAll = IsOffTheList(aNow) || IsFeeder(aVm);
    const auto reach = one->lead.Reach(mHeard[service]);
    // A primary that was not heard lately is kept by no such word.
    const bool tells =
      reach.obeyedTerm != 0 || aNow - reach.heardAt < kToldReach;
    if (tells && (isForAll || HolderOf(service) == aVm)) {
      Fill(*told.add_reaches(), service, reach);
    }
  }
  mNews.Send(aVm, std::move(told), aNow);
}

void
control::Received(const news::News& aNews,
                  const news::exchange::clock_reader& aClock,
                  clock::time_point aNow)
{
  mKnownVms.Heard(aNews.vm(), aNow);
  const auto heard = ReadChanges(aNews);
  const auto views = Views();
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i]->HeardOf(heard[i], aNow);
  }
  HeardOfTokens(aNews, aClock, aNow);
  AnswerWanted(aNews, aNow);
  HeardDoubts(aNews, aNow);
  TakeUpdates(aNews, aClock, aNow);
  HeardChanges(aNews, aNow);
  if (aNews.answer()) {
    AnswerTo(aNews.vm(), aNow);
  }
  if (aClock) {
    TakeWatches(aNews, aClock, aNow);
    for (const auto& reach : aNews.reaches()) {
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
  return SomeOf(mKnownVms.Reachable(aNow), kFewVms, mTurn++);
}

// The other VMs that hold duties, as far as this one knows.
std::vector<std::string>
control::DutyHolders() const
{
  std::vector<std::string> holders;
  for (const auto& [service, one] : mGroups) {
    auto holder = HolderOf(service);
    if (!holder.empty() && holder != mSelf.where.vm) {
      AddNew(holders, { std::move(holder) });
    }
  }
  return holders;
}

void
control::TakeWatches(const news::News& aNews,
                     const news::exchange::clock_reader& aClock,
                     clock::time_point aNow)
{
  if (aNews.passes_on() && IsFeeder(aNews.vm())) {
    mRelayedAt = aNow;
  }
  for (const auto& watch : aNews.watches()) {
    if (auto* found = Find(watch.group())) {
      found->lead.HeardWatch(ReadWatch(watch, aClock), aNow);
    }
  }
}

} // namespace currantshed::node
