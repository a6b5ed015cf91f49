// News of the store: a few VMs in each failure domain follow it, the others ask
// those for what has changed.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"
#include "currantshed/node/forwarders.hpp"
#include "currantshed/node/message_conversion.hpp"
#include "currantshed/node/peer_selection.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Time between two questions of a VM, to its feeders by turns.
constexpr milliseconds kPollInterval{ 400 };
// Until when a VM that has found feeders waits for their first answer.
constexpr milliseconds kFirstAnswer{ 600 };

store::key_change
ReadKey(const news::Key& aKey, store::era_id aEra)
{
  return { { aKey.key(),
             aKey.value(),
             { aEra, aKey.changed() },
             { aEra, aKey.lease() } },
           aKey.removed() };
}

void
Fill(news::Key& aOut, const store::key_change& aChange)
{
  aOut.set_key(aChange.now.key);
  aOut.set_value(aChange.now.value);
  aOut.set_changed(aChange.now.changed.number);
  aOut.set_lease(aChange.now.lease.number);
  aOut.set_removed(aChange.removed);
}

store::key_update
ReadUpdate(const news::KeysUpdate& aUpdate)
{
  store::key_update made;
  made.isSnapshot = aUpdate.whole();
  made.after = { aUpdate.era(), aUpdate.after() };
  made.upTo = { aUpdate.era(), aUpdate.up_to() };
  made.mayBeStale = aUpdate.may_be_old();
  std::transform(
    aUpdate.keys().begin(),
    aUpdate.keys().end(),
    std::back_inserter(made.changes),
    [&aUpdate](const auto& aKey) { return ReadKey(aKey, aUpdate.era()); });
  return made;
}

} // namespace

// A VM that starts first looks for feeders: most others may not be listed yet.
// It need not where it is known that there are few VMs, or that it is a feeder.
void
control::EndForwarderDiscovery(bool aIsForwarder, clock::time_point aNow)
{
  const auto recorded = std::count_if(
    mOwnKeys.fleet.begin(), mOwnKeys.fleet.end(), [this](const auto& aVm) {
      return aVm.failureDomain == mSelf.failureDomain;
    });
  const bool areFew =
    recorded > 0 && static_cast<std::size_t>(recorded) < kMinVmsForForwarders;
  if (aIsForwarder || areFew) {
    for (auto* view : Views()) {
      view->ForwardedUntil(std::min(view->ForwardedUntil(), aNow));
    }
  }
}

// Who feeds this VM: nobody while it is a feeder itself.
void
control::UpdateForwarders(clock::time_point aNow)
{
  NoteDomains();
  auto forwarders = mDomainForwarders;
  const bool isForwarder =
    std::find(forwarders.begin(), forwarders.end(), mSelf.where.vm) !=
    forwarders.end();
  if (isForwarder) {
    mRegistration.SetLease(ShortLease());
    forwarders.clear();
  }
  if (forwarders.empty()) {
    EndForwarderDiscovery(isForwarder, aNow);
  }
  HoldFirstReadings(!forwarders.empty(), aNow);
  if (forwarders == mForwarders) {
    return;
  }
  log::Write(
    log::level::kInfo,
    "feeders",
    { { "feeds", isForwarder },
      { "first", forwarders.empty() ? std::string() : forwarders.front() },
      { "last", forwarders.empty() ? std::string() : forwarders.back() } });
  const bool isNew = mForwarders.empty();
  mForwarders = std::move(forwarders);
  if (!isNew || mForwarders.empty()) {
    return;
  }
  for (auto* view : Views()) {
    view->ForwardedUntil(std::max(view->ForwardedUntil(), aNow + kFirstAnswer));
  }
  for (const auto& vm : mForwarders) {
    SendWanted(vm, aNow);
  }
}

// Asks a feeder, the next one each time, and others where those can't help.
void
control::Poll(clock::time_point aNow)
{
  if (aNow < mNextPoll || (mForwarders.empty() && !LacksProof(aNow))) {
    return;
  }
  mNextPoll = aNow + kPollInterval;
  if (!mForwarders.empty()) {
    AskUse(aNow);
    SendWanted(mForwarders[++mTurn % mForwarders.size()], aNow);
  }
  // The feeders are cut off from the store as well: others may not be.
  const bool areCutOff =
    mRegistration.IsFailing() && aNow >= mOwnView.ForwardedUntil();
  if (areCutOff || LacksProof(aNow)) {
    for (const auto& vm : NextFew(aNow)) {
      SendWanted(vm, aNow);
    }
  }
}

// Traffic knows which groups callers use; the next question names them.
void
control::AskUse(clock::time_point aNow)
{
  const auto since = std::exchange(mUseKnownAt, aNow);
  mTraffic.QueryUsedServices(
    since, [this, aNow](std::vector<std::string> aUsed) {
      boost::asio::post(mContext, [this, aNow, used = std::move(aUsed)] {
        for (const auto& service : used) {
          mInUse.MarkUsed(service, aNow);
        }
      });
    });
}

// Callers need a proof. A VM that has no words on the group, since nobody used
// it, asks one that passes words on, which has them.
void
control::ConfirmationNeeded(const std::string& aService, clock::time_point aNow)
{
  auto* found = Touch(aService);
  if (found == nullptr) {
    return;
  }
  const bool isNew = !mInUse.Contains(aService, aNow);
  mInUse.MarkUsed(aService, aNow);
  if (isNew && IsRelayed(aNow)) {
    SendWanted(mForwarders[mTurn % mForwarders.size()], aNow);
  }
  found->lead.ConfirmationNeeded(aNow);
  Perform(aNow);
}

void
control::SendWanted(const std::string& aVm, clock::time_point aNow)
{
  news::News told;
  FillChanges(told);
  for (auto& service : mInUse.All(aNow)) {
    told.add_groups(std::move(service));
  }
  std::uint32_t number = 0;
  for (const auto* view : Views()) {
    auto* wanted = told.add_wanted();
    wanted->set_prefix(number++);
    const auto known = view->IsKnown() ? view->Seen() : store::revision{};
    wanted->set_known(known.number);
    wanted->set_known_era(known.era);
  }
  mPace.Asked(aNow);
  mNews.Send(aVm, std::move(told), aNow);
}

// What a VM that asked lacks of the keys, and how old this VM's are.
void
control::AnswerWanted(const news::News& aNews, clock::time_point aNow)
{
  if (aNews.wanted_size() == 0) {
    return;
  }
  const auto added = mSubscribers.Asked(
    aNews.vm(), { aNews.groups().begin(), aNews.groups().end() }, aNow);
  SendRecent(aNews.vm(), added, aNow);
  const auto views = Views();
  const auto longest = MaxUpdateBytes(mSettings.linkMegabits);
  news::News told;
  FillChanges(told);
  for (const auto& wanted : aNews.wanted()) {
    if (wanted.prefix() >= views.size() || !views[wanted.prefix()]->IsKnown()) {
      continue;
    }
    const auto& view = *views[wanted.prefix()];
    const auto update =
      view.UpdateSince({ wanted.known_era(), wanted.known() }, longest);
    FillUpdate(*told.add_updates(), wanted.prefix(), update);
  }
  mNews.Send(aNews.vm(), std::move(told), aNow);
}

void
control::FillUpdate(news::KeysUpdate& aOut,
                    std::size_t aPrefix,
                    const store::key_update& aUpdate)
{
  const auto& view = *Views().at(aPrefix);
  aOut.set_prefix(static_cast<std::uint32_t>(aPrefix));
  aOut.set_whole(aUpdate.isSnapshot);
  aOut.set_after(aUpdate.after.number);
  aOut.set_up_to(aUpdate.upTo.number);
  aOut.set_era(aUpdate.upTo.era);
  aOut.set_may_be_old(aUpdate.mayBeStale);
  aOut.set_current_at_us(
    lead::ToWire(view.CurrentAt(mRegistration.LastAnsweredSentAt())).count());
  if (aPrefix == internal::kConfigurationPrefix) {
    aOut.set_proved_at_us(lead::ToWire(view.VerifiedAt()).count());
  }
  aOut.set_too_long(aUpdate.isTooLarge);
  for (const auto& one : aUpdate.changes) {
    Fill(*aOut.add_keys(), one);
  }
}

void
control::TakeUpdates(const news::News& aNews,
                     const news::exchange::clock_converter& aClock,
                     clock::time_point aNow)
{
  if (aNews.updates_size() > 0) {
    mPace.OnResponse();
  }
  for (const auto& update : aNews.updates()) {
    if (update.prefix() < Views().size()) {
      TakeUpdate(aNews.vm(), update, aClock, aNow);
    }
  }
}

void
control::TakeUpdate(const std::string& aVm,
                    const news::KeysUpdate& aUpdate,
                    const news::exchange::clock_converter& aClock,
                    clock::time_point aNow)
{
  auto& view = *Views().at(aUpdate.prefix());
  if (aUpdate.proved_at_us() != 0 && !aClock) {
    AnswerSender(aVm, aNow);
  }
  if (aUpdate.too_long()) {
    AskParts(aVm, aUpdate.prefix(), aNow);
    return;
  }
  if (!view.ApplyUpdate(ReadUpdate(aUpdate), aNow) || !aClock) {
    return;
  }
  if (aUpdate.proved_at_us() != 0) {
    view.MarkVerified(aClock(aUpdate.proved_at_us()));
    NoteProof(aNow);
  }
  const auto until = mForwardingTimeouts.ForwardedUntil(
    &view == &mConfigurationView, aClock(aUpdate.current_at_us()), aNow);
  view.ForwardedUntil(std::max(view.ForwardedUntil(), until));
}

// Says anything, so that the other VM can put its next times in terms of this
// one's clock.
void
control::AnswerSender(const std::string& aVm, clock::time_point aNow)
{
  news::News told;
  FillChanges(told);
  mNews.Send(aVm, std::move(told), aNow);
}

// A feeder that has seen something new is asked at once.
void
control::HeardChanges(const news::News& aNews, clock::time_point aNow)
{
  const auto heard = ReadChanges(aNews);
  const auto views = Views();
  bool isNews = false;
  for (std::size_t i = 0; i < views.size(); ++i) {
    isNews = isNews || heard[i] > views[i]->Seen();
  }
  if (isNews && IsForwarder(aNews.vm()) && mPace.MayRequest(aNow)) {
    SendWanted(aNews.vm(), aNow);
  }
}

// Whether the VM is one of those that feed this one.
bool
control::IsForwarder(const std::string& aVm) const
{
  return std::find(mForwarders.begin(), mForwarders.end(), aVm) !=
         mForwarders.end();
}

// Tells the VMs that ask this one that there is something new.
void
control::TellSubscribers(clock::time_point aNow)
{
  mSubscribers.RemoveExpired(aNow);
  news::News told;
  FillChanges(told);
  for (const auto& vm : mSubscribers.All()) {
    mNews.Send(vm, told, aNow);
  }
}

std::array<store::prefix_view*, 3>
control::Views()
{
  return { &mConfigurationView, &mServersView, &mOwnView };
}

} // namespace currantshed::node
