#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/node/audience.hpp"

namespace currantshed::node {

namespace {

// How many VMs are spoken to at a time where it does not matter which.
constexpr std::size_t kFewVms = 6;
// How many VMs are passed on what this one has proved by itself.
constexpr std::size_t kMostPassedOn = 24;

news::Position*
Fill(news::Position* aOut, const position::log_position& aPosition)
{
  aOut->set_term(aPosition.term);
  aOut->set_index(aPosition.index);
  return aOut;
}

void
Fill(news::Watch& aOut,
     const std::string& aService,
     const lead::lead_news& aNews)
{
  aOut.set_group(aService);
  aOut.set_term(aNews.proof.term);
  aOut.set_primary(aNews.proof.primary);
  aOut.set_asked_at_us(lead::ToWire(aNews.proof.askedAt).count());
  aOut.set_revoked_term(aNews.revokedTerm);
  aOut.set_epoch(aNews.epoch);
  if (aNews.sample) {
    aOut.set_sample_term(aNews.sample->term);
    Fill(aOut.mutable_sample(), aNews.sample->position);
    aOut.set_sampled_at_us(lead::ToWire(aNews.sample->askedAt).count());
  }
}

void
Fill(news::Reach& aOut,
     const std::string& aService,
     const lead::reach_news& aNews)
{
  aOut.set_group(aService);
  aOut.set_term(aNews.term);
  aOut.set_primary(aNews.primary);
  aOut.set_heard_at_us(lead::ToWire(aNews.heardAt).count());
  aOut.set_obeyed_term(aNews.obeyedTerm);
}

lead::lead_news
ReadWatch(const news::Watch& aWatch, const news::exchange::clock_reader& aClock)
{
  lead::lead_news made;
  made.proof = { aWatch.term(),
                 aWatch.primary(),
                 aClock(aWatch.asked_at_us()) };
  made.revokedTerm = aWatch.revoked_term();
  made.epoch = aWatch.epoch();
  if (aWatch.has_sample()) {
    made.sample = { aWatch.sample_term(),
                    { aWatch.sample().term(), aWatch.sample().index() },
                    aClock(aWatch.sampled_at_us()) };
  }
  return made;
}

} // namespace

// The word of the VM that watches a group, to all others.
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
  for (const auto& vm : Peers(aNow)) {
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
  auto told = DutyHolders();
  // Whoever holds the duties by now may not know of a VM that the store lists
  // no longer, nor that VM of a new holder: it speaks to others as well. To all
  // at once would cost a link to each: a third of 295 VMs cut off from the
  // store opened some 30,000.
  if (IsOffTheList(now)) {
    AddNew(told, NextFew(now));
  }
  for (const auto& vm : told) {
    SendReachTo(vm, false, now);
  }
}

void
control::FillChanges(news::News& aOut) const
{
  aOut.set_configuration_change(mConfigurationView.Changed());
  aOut.set_servers_change(mServersView.Changed());
  aOut.set_own_change(mOwnView.Changed());
}

void
control::SendReachTo(const std::string& aVm, bool aAsks, clock::time_point aNow)
{
  news::News told;
  told.set_answer(aAsks);
  FillChanges(told);
  for (const auto& [service, one] : mGroups) {
    if (HolderOf(service) == aVm || IsOffTheList(aNow)) {
      Fill(*told.add_reaches(), service, one->lead.Reach(mHeard[service]));
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
  mConfigurationView.HeardOf(aNews.configuration_change(), aNow);
  mServersView.HeardOf(aNews.servers_change(), aNow);
  mOwnView.HeardOf(aNews.own_change(), aNow);
  AnswerWanted(aNews, aNow);
  TakeUpdates(aNews, aClock, aNow);
  HeardChanges(aNews, aNow);
  if (aNews.answer()) {
    AnswerTo(aNews.vm(), aNow);
  }
  if (aClock) {
    for (const auto& watch : aNews.watches()) {
      if (auto* found = Find(watch.group())) {
        found->lead.HeardWatch(ReadWatch(watch, aClock), aNow);
      }
    }
    for (const auto& reach : aNews.reaches()) {
      if (auto* found = Find(reach.group())) {
        found->lead.HeardReach(aNews.vm(),
                               { reach.term(),
                                 reach.primary(),
                                 aClock(reach.heard_at_us()),
                                 reach.obeyed_term(),
                                 aClock(aNews.sent_at_us()) },
                               aNow);
      }
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

std::vector<std::string>
control::Peers(clock::time_point aNow) const
{
  std::vector<std::string> peers;
  for (auto& one : mKnownVms.Reachable(aNow)) {
    peers.push_back(std::move(one.vm));
  }
  return peers;
}

} // namespace currantshed::node
