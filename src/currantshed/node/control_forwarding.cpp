// Dissemination of the store's changes: a few VMs in each failure domain, the
// forwarders, follow the store. The others poll the forwarders for changes.
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

// Interval between two polls of a VM, which alternates between its forwarders.
constexpr milliseconds kPollInterval{ 400 };
// How long a VM that has found forwarders waits for their first answer.
constexpr milliseconds kFirstAnswerTimeout{ 600 };

store::key_change
ApplyKey(const news::Key& aKey, store::era_id aEra)
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
    [&aUpdate](const auto& aKey) { return ApplyKey(aKey, aUpdate.era()); });
  return made;
}

} // namespace

// A VM that starts looks for forwarders first, because most others may not be
// listed yet. It does not wait if the failure domain is known to have few VMs
// or if this VM is a forwarder.
void
control::EndForwarderDiscovery(bool aIsForwarder, clock::time_point aNow)
{
  const auto recorded =
    std::count_if(mClusterState.fleet.begin(),
                  mClusterState.fleet.end(),
                  [this](const auto& aVm) {
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

// Updates which VMs forward changes to this one; none do while it is a
// forwarder itself.
void
control::UpdateForwarders(clock::time_point aNow)
{
  UpdateForwardersOfAll();
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
  DelayFirstReads(!forwarders.empty(), aNow);
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
    view->ForwardedUntil(
      std::max(view->ForwardedUntil(), aNow + kFirstAnswerTimeout));
  }
  for (const auto& vm : mForwarders) {
    SendPoll(vm, aNow);
  }
}

poll_plan
control::PlanPoll(clock::time_point aNow) const
{
  return node::PlanPoll({ !mForwarders.empty(),
                          mForwarders.empty() && !mDomainForwarders.empty(),
                          mRegistration.IsFailing(),
                          aNow < mClusterView.ForwardedUntil(),
                          LacksVerification(aNow) });
}

// Polls the next forwarder, and other VMs if the forwarders cannot help.
void
control::PollForwarders(clock::time_point aNow)
{
  const auto plan = PlanPoll(aNow);
  if (aNow < mNextPoll || !(plan.forwarder || plan.others)) {
    return;
  }
  mNextPoll = aNow + kPollInterval;
  if (plan.forwarder) {
    UpdateGroupsInUse(aNow);
    SendPoll(mForwarders[++mRound % mForwarders.size()], aNow);
  }
  if (plan.others) {
    for (const auto& vm : SelectFewVms(aNow)) {
      SendPoll(vm, aNow);
    }
  }
}

// Requests from the traffic thread which groups callers use. The next poll
// names them.
void
control::UpdateGroupsInUse(clock::time_point aNow)
{
  const auto since = std::exchange(mGroupsInUseAt, aNow);
  mTraffic.QueryUsedServices(
    since, [this, aNow](std::vector<std::string> aUsed) {
      boost::asio::post(mContext, [this, aNow, used = std::move(aUsed)] {
        for (const auto& service : used) {
          mGroupsInUse.MarkUsed(service, aNow);
        }
      });
    });
}

// Callers need a confirmation. A VM without watch updates for the group,
// because the group was not in use, requests them from a forwarder.
void
control::ConfirmationNeeded(const std::string& aService, clock::time_point aNow)
{
  auto* found = MarkPending(aService);
  if (found == nullptr) {
    return;
  }
  const bool isNew = !mGroupsInUse.Contains(aService, aNow);
  mGroupsInUse.MarkUsed(aService, aNow);
  if (isNew && IsForwardedTo(aNow)) {
    SendPoll(mForwarders[mRound % mForwarders.size()], aNow);
  }
  found->monitor.ConfirmationNeeded(aNow);
  PerformActions(aNow);
}

void
control::SendPoll(const std::string& aVm, clock::time_point aNow)
{
  news::News message;
  FillRevisions(message);
  for (auto& service : mGroupsInUse.All(aNow)) {
    message.add_groups(std::move(service));
  }
  std::uint32_t number = 0;
  for (const auto* view : Views()) {
    auto* wanted = message.add_wanted();
    wanted->set_prefix(number++);
    const auto known = view->IsKnown() ? view->Seen() : store::revision{};
    wanted->set_known(known.number);
    wanted->set_known_era(known.era);
  }
  mPollThrottle.OnRequestSent(aNow);
  mExchange.Send(aVm, std::move(message), aNow);
}

// Answers a poll with the changes that the VM lacks, and with the time as of
// which this VM's keys are current.
void
control::AnswerPoll(const news::News& aMessage, clock::time_point aNow)
{
  if (aMessage.wanted_size() == 0) {
    return;
  }
  const auto added = mSubscribers.Subscribe(
    aMessage.vm(),
    { aMessage.groups().begin(), aMessage.groups().end() },
    aNow);
  SendRecentUpdates(aMessage.vm(), added, aNow);
  const auto views = Views();
  const auto maxBytes = MaxUpdateBytes(mSettings.linkMegabits);
  news::News message;
  FillRevisions(message);
  for (const auto& wanted : aMessage.wanted()) {
    if (wanted.prefix() >= views.size() || !views[wanted.prefix()]->IsKnown()) {
      continue;
    }
    const auto& view = *views[wanted.prefix()];
    const auto update =
      view.UpdateSince({ wanted.known_era(), wanted.known() }, maxBytes);
    FillUpdate(*message.add_updates(), wanted.prefix(), update);
  }
  mExchange.Send(aMessage.vm(), std::move(message), aNow);
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
control::ApplyKeysUpdates(const news::News& aMessage,
                          const news::exchange::clock_converter& aClock,
                          clock::time_point aNow)
{
  if (aMessage.updates_size() > 0) {
    mPollThrottle.OnResponse();
  }
  for (const auto& update : aMessage.updates()) {
    if (update.prefix() < Views().size()) {
      ApplyKeysUpdate(aMessage.vm(), update, aClock, aNow);
    }
  }
}

void
control::ApplyKeysUpdate(const std::string& aVm,
                         const news::KeysUpdate& aUpdate,
                         const news::exchange::clock_converter& aClock,
                         clock::time_point aNow)
{
  auto& view = *Views().at(aUpdate.prefix());
  if (aUpdate.proved_at_us() != 0 && !aClock) {
    SendEmptyAnnouncement(aVm, aNow);
  }
  const store::revision upTo{ aUpdate.era(), aUpdate.up_to() };
  if (aUpdate.too_long() && upTo > view.Seen()) {
    BeginSnapshotTransfer(aVm, aUpdate.prefix(), aNow);
    return;
  }
  if (!view.ApplyUpdate(ReadUpdate(aUpdate), aNow) || !aClock) {
    return;
  }
  if (aUpdate.proved_at_us() != 0) {
    view.MarkVerified(aClock(aUpdate.proved_at_us()));
    ApplyVerification(aNow);
  }
  const auto until = mForwardingTimeouts.ForwardedUntil(
    &view == &mConfigurationView, aClock(aUpdate.current_at_us()), aNow);
  view.ForwardedUntil(std::max(view.ForwardedUntil(), until));
}

// Sends an empty message, so that the other VM can convert its timestamps to
// this VM's clock in later messages.
void
control::SendEmptyAnnouncement(const std::string& aVm, clock::time_point aNow)
{
  news::News message;
  FillRevisions(message);
  mExchange.Send(aVm, std::move(message), aNow);
}

// Polls a forwarder at once when it has seen newer changes.
void
control::PollIfNewer(const news::News& aMessage, clock::time_point aNow)
{
  const auto revisions = ReadRevisions(aMessage);
  const auto views = Views();
  bool hasNewer = false;
  for (std::size_t i = 0; i < views.size(); ++i) {
    hasNewer = hasNewer || revisions[i] > views[i]->Seen();
  }
  if (hasNewer && IsForwarder(aMessage.vm()) &&
      mPollThrottle.MayRequest(aNow)) {
    SendPoll(aMessage.vm(), aNow);
  }
}

// Whether the VM forwards changes to this one.
bool
control::IsForwarder(const std::string& aVm) const
{
  return std::find(mForwarders.begin(), mForwarders.end(), aVm) !=
         mForwarders.end();
}

// Notifies the VMs that poll this one of newer changes.
void
control::NotifySubscribers(clock::time_point aNow)
{
  mSubscribers.RemoveExpired(aNow);
  news::News message;
  FillRevisions(message);
  for (const auto& vm : mSubscribers.All()) {
    mExchange.Send(vm, message, aNow);
  }
}

std::array<store::prefix_view*, 3>
control::Views()
{
  return { &mConfigurationView, &mServersView, &mClusterView };
}

} // namespace currantshed::node
