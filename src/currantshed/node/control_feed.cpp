// Dissemination of the store's changes: a few VMs in each failure domain, the
// forwarders, follow the store. The others poll the forwarders for changes.
#include "currantshed/node/control.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"
#include "currantshed/node/audience.hpp"
#include "currantshed/node/control_words.hpp"
#include "currantshed/node/feeders.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Interval between two polls of a VM, which alternates between its forwarders.
constexpr milliseconds kPollInterval{ 400 };
// How long a VM that has found forwarders waits for their first answer.
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
  made.isWhole = aUpdate.whole();
  made.after = { aUpdate.era(), aUpdate.after() };
  made.upTo = { aUpdate.era(), aUpdate.up_to() };
  made.mayBeOld = aUpdate.may_be_old();
  std::transform(
    aUpdate.keys().begin(),
    aUpdate.keys().end(),
    std::back_inserter(made.changes),
    [&aUpdate](const auto& aKey) { return ReadKey(aKey, aUpdate.era()); });
  return made;
}

} // namespace

// A VM that starts looks for forwarders first, because most others may not be
// listed yet. It does not wait if the failure domain is known to have few VMs
// or if this VM is a forwarder.
void
control::EndFeederSearch(bool aIsFeeder, clock::time_point aNow)
{
  const auto recorded = std::count_if(
    mOwnKeys.fleet.begin(), mOwnKeys.fleet.end(), [this](const auto& aVm) {
      return aVm.failureDomain == mSelf.failureDomain;
    });
  const bool areFew =
    recorded > 0 && static_cast<std::size_t>(recorded) < kFewestFed;
  if (aIsFeeder || areFew) {
    for (auto* view : Views()) {
      view->FedUntil(std::min(view->FedUntil(), aNow));
    }
  }
}

// Updates which VMs forward changes to this one; none do while it is a
// forwarder itself.
void
control::NoteFeeders(clock::time_point aNow)
{
  NoteDomains();
  auto feeders = mOwnFeeders;
  const bool isFeeder =
    std::find(feeders.begin(), feeders.end(), mSelf.where.vm) != feeders.end();
  if (isFeeder) {
    mRegistration.SetLease(ShortLease());
    feeders.clear();
  }
  if (feeders.empty()) {
    EndFeederSearch(isFeeder, aNow);
  }
  HoldFirstReadings(!feeders.empty(), aNow);
  if (feeders == mFeeders) {
    return;
  }
  log::Write(log::level::kInfo,
             "feeders",
             { { "feeds", isFeeder },
               { "first", feeders.empty() ? std::string() : feeders.front() },
               { "last", feeders.empty() ? std::string() : feeders.back() } });
  const bool isNew = mFeeders.empty();
  mFeeders = std::move(feeders);
  if (!isNew || mFeeders.empty()) {
    return;
  }
  for (auto* view : Views()) {
    view->FedUntil(std::max(view->FedUntil(), aNow + kFirstAnswer));
  }
  for (const auto& vm : mFeeders) {
    SendWanted(vm, aNow);
  }
}

// Polls the next forwarder, and other VMs if the forwarders cannot help.
void
control::Poll(clock::time_point aNow)
{
  if (aNow < mNextPoll || (mFeeders.empty() && !LacksProof(aNow))) {
    return;
  }
  mNextPoll = aNow + kPollInterval;
  if (!mFeeders.empty()) {
    AskUse(aNow);
    SendWanted(mFeeders[++mTurn % mFeeders.size()], aNow);
  }
  // The forwarders are cut off from the store as well, but others may not be.
  const bool areCutOff =
    mRegistration.IsFailing() && aNow >= mOwnView.FedUntil();
  if (areCutOff || LacksProof(aNow)) {
    for (const auto& vm : NextFew(aNow)) {
      SendWanted(vm, aNow);
    }
  }
}

// Requests from the traffic thread which groups callers use. The next poll
// names them.
void
control::AskUse(clock::time_point aNow)
{
  const auto since = std::exchange(mUseKnownAt, aNow);
  mTraffic.AskUsed(since, [this, aNow](std::vector<std::string> aUsed) {
    boost::asio::post(mContext, [this, aNow, used = std::move(aUsed)] {
      for (const auto& service : used) {
        mInUse.Used(service, aNow);
      }
    });
  });
}

// Callers need a confirmation. A VM without watch updates for the group,
// because the group was not in use, requests them from a forwarder.
void
control::Wanted(const std::string& aService, clock::time_point aNow)
{
  auto* found = Touch(aService);
  if (found == nullptr) {
    return;
  }
  const bool isNew = !mInUse.Contains(aService, aNow);
  mInUse.Used(aService, aNow);
  if (isNew && IsRelayed(aNow)) {
    SendWanted(mFeeders[mTurn % mFeeders.size()], aNow);
  }
  found->lead.Wanted(aNow);
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

// Answers a poll with the changes that the VM lacks, and with the time as of
// which this VM's keys are current.
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
  const auto longest = LongestAnswer(mSettings.linkMegabits);
  news::News told;
  FillChanges(told);
  for (const auto& wanted : aNews.wanted()) {
    if (wanted.prefix() >= views.size() || !views[wanted.prefix()]->IsKnown()) {
      continue;
    }
    const auto& view = *views[wanted.prefix()];
    const auto update =
      view.After({ wanted.known_era(), wanted.known() }, longest);
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
  aOut.set_whole(aUpdate.isWhole);
  aOut.set_after(aUpdate.after.number);
  aOut.set_up_to(aUpdate.upTo.number);
  aOut.set_era(aUpdate.upTo.era);
  aOut.set_may_be_old(aUpdate.mayBeOld);
  aOut.set_current_at_us(
    lead::ToWire(view.CurrentAt(mRegistration.AnsweredFor())).count());
  if (aPrefix == internal::kConfigurationNumber) {
    aOut.set_proved_at_us(lead::ToWire(view.ProvedAt()).count());
  }
  aOut.set_too_long(aUpdate.isTooLong);
  for (const auto& one : aUpdate.changes) {
    Fill(*aOut.add_keys(), one);
  }
}

void
control::TakeUpdates(const news::News& aNews,
                     const news::exchange::clock_reader& aClock,
                     clock::time_point aNow)
{
  if (aNews.updates_size() > 0) {
    mPace.Answered();
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
                    const news::exchange::clock_reader& aClock,
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
  if (!view.Take(ReadUpdate(aUpdate), aNow) || !aClock) {
    return;
  }
  if (aUpdate.proved_at_us() != 0) {
    view.Prove(aClock(aUpdate.proved_at_us()));
    NoteProof(aNow);
  }
  const auto until = mFeedTimes.FedUntil(
    &view == &mConfigurationView, aClock(aUpdate.current_at_us()), aNow);
  view.FedUntil(std::max(view.FedUntil(), until));
}

// Sends an empty message, so that the other VM can convert its timestamps to
// this VM's clock in later messages.
void
control::AnswerSender(const std::string& aVm, clock::time_point aNow)
{
  news::News told;
  FillChanges(told);
  mNews.Send(aVm, std::move(told), aNow);
}

// Polls a forwarder at once when it has seen newer changes.
void
control::HeardChanges(const news::News& aNews, clock::time_point aNow)
{
  const auto heard = ReadChanges(aNews);
  const auto views = Views();
  bool isNews = false;
  for (std::size_t i = 0; i < views.size(); ++i) {
    isNews = isNews || heard[i] > views[i]->Seen();
  }
  if (isNews && IsFeeder(aNews.vm()) && mPace.MayAsk(aNow)) {
    SendWanted(aNews.vm(), aNow);
  }
}

// Whether the VM forwards changes to this one.
bool
control::IsFeeder(const std::string& aVm) const
{
  return std::find(mFeeders.begin(), mFeeders.end(), aVm) != mFeeders.end();
}

// Notifies the VMs that poll this one of newer changes.
void
control::TellSubscribers(clock::time_point aNow)
{
  mSubscribers.Forget(aNow);
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
