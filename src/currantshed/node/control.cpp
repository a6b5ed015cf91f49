#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;

// Time between two words of a VM on its own way to the primaries, for each VM
// that gives such words, and its bounds: whoever watches a group needs some
// fresh words, not many.
constexpr milliseconds kReachByVm{ 25 };
constexpr milliseconds kShortestReach{ 250 };
constexpr milliseconds kLongestReach{ 2000 };
// A VM that was listed or heard this lately may still rest on a proof, whatever
// the store says of it: its key may have been taken away unseen.
constexpr milliseconds kVmMemory{ 15000 };
// How long the first VMs wait for the others before one claims a duty, so
// that the duties are spread.
constexpr milliseconds kSettleTime{ 1000 };
constexpr milliseconds kClaimPause{ 500 };
// An order to promote must go out this soon after the store has shown that
// the duty is still held.
constexpr milliseconds kDutyCheckLife{ 300 };
// What must be left of the lease for the duty to count as held.
constexpr milliseconds kLeaseReserve{ 500 };
// After this time a VM takes callers though a group has no primary.
constexpr milliseconds kReadyWithoutProof{ 1500 };
// How much longer than its listing a server is kept: entries of servers that
// live come back within two seconds after the store was away.
constexpr milliseconds kMissingGrace{ 3000 };

clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

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

control::control(const node_settings& aSettings,
                 const lead::lead_settings& aLead,
                 const document_codec& aDocuments,
                 const platform_maker& aMaker,
                 traffic& aTraffic,
                 metrics& aMetrics)
  : mSettings(aSettings)
  , mLeadSettings(aLead)
  , mDocuments(aDocuments)
  , mTraffic(aTraffic)
  , mMetrics(aMetrics)
  , mWork(boost::asio::make_work_guard(mContext))
  , mSelf{ { aSettings.vm, aSettings.peers.host, aSettings.peers.port },
           aSettings.relays.port,
           aSettings.failureDomain,
           absl::Uniform<std::uint64_t>(mRandom) >> 1U }
  , mPlatform(aMaker(mContext))
  , mConfigurationView(*mPlatform.store,
                       aDocuments.ConfigurationKey(),
                       {},
                       { [this](clock::time_point) { ConfigurationChanged(); },
                         [this](bool aIsReached, std::error_code aWhy) {
                           NoteStore("configuration", aIsReached, aWhy);
                         } })
  , mServersView(*mPlatform.store,
                 aDocuments.ServersPrefix(),
                 {},
                 { [this](clock::time_point aNow) { ServersChanged(aNow); },
                   [this](bool aIsReached, std::error_code aWhy) {
                     NoteStore("servers", aIsReached, aWhy);
                   } })
  , mOwnView(*mPlatform.store,
             std::string(kOwnPrefix),
             {},
             { [this](clock::time_point aNow) { OwnKeysChanged(aNow); },
               [this](bool aIsReached, std::error_code aWhy) {
                 NoteStore("own_keys", aIsReached, aWhy);
               } })
  , mRegistration(*mPlatform.store,
                  mOwnView,
                  VmKey(aSettings.vm),
                  { std::max(milliseconds{ 2000 }, aSettings.shortestLease) })
  , mNews(mContext,
          mZmq,
          mSelf.where,
          mSelf.incarnation,
          [this](const news::News& aNews,
                 const news::exchange::clock_reader& aClock,
                 clock::time_point aNow) { Received(aNews, aClock, aNow); })
  , mStartedAt(Now())
  , mTicker(mContext, [this] { Tick(); })
{
  mRegistration.SetValue(PrintVm(mSelf));
  mRegistration.OnRegained([this] {
    mConfigurationView.Renew();
    mServersView.Renew();
    mOwnView.Renew();
  });
}

control::~control()
{
  try {
    Stop();
  } catch (const std::exception& error) {
    log::Write(log::level::kError,
               "control_not_stopped",
               { { "reason", std::string(error.what()) } });
  }
}

std::error_code
control::Start()
{
  if (const auto error = mNews.Listen()) {
    return error;
  }
  mTraffic.SetListener(
    { [this](const std::string& aService) {
       boost::asio::post(mContext, [this, aService] {
         if (auto* found = Find(aService)) {
           found->lead.Wanted(Now());
           Perform(Now());
         }
       });
     },
      [this](const std::string& aService, position::term_id aTerm) {
        boost::asio::post(mContext, [this, aService, aTerm] {
          if (auto* found = Find(aService)) {
            found->lead.Denied(aTerm, Now());
            Perform(Now());
          }
        });
      } });
  boost::asio::post(mContext, [this] { Tick(); });
  mThread = std::thread([this] { mContext.run(); });
  return {};
}

void
control::Leave()
{
  mIsReady = false;
  boost::asio::post(mContext, [this] {
    mIsLeaving = true;
    mIsReady = false;
    mSelf.leaving = true;
    mRegistration.SetValue(PrintVm(mSelf));
    Tick();
  });
}

void
control::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  boost::asio::post(mContext, [this] {
    mRegistration.End();
    mNews.Close();
    mWork.reset();
    mContext.stop();
  });
  mThread.join();
}

void
control::ConfigurationChanged()
{
  const auto& items = mConfigurationView.Items();
  const auto found = items.find(mDocuments.ConfigurationKey());
  if (found == items.end()) {
    return;
  }
  std::string whyNot;
  auto read = mDocuments.ReadConfiguration(found->second.value, whyNot);
  if (read == nullptr) {
    log::Write(
      log::level::kError, "configuration_unreadable", { { "reason", whyNot } });
    return;
  }
  if (read->version <= mVersion) {
    log::Write(log::level::kWarning,
               "configuration_ignored",
               { { "version", static_cast<std::int64_t>(read->version) },
                 { "in_force", static_cast<std::int64_t>(mVersion) } });
    return;
  }
  mVersion = read->version;
  mMetrics.SetConfiguration(mVersion);
  log::Write(
    log::level::kInfo,
    "configuration_in_force",
    { { "version", static_cast<std::int64_t>(mVersion) },
      { "routes", static_cast<std::int64_t>(read->routes.size()) },
      { "services", static_cast<std::int64_t>(read->services.size()) } });
  mTraffic.SetConfiguration(std::move(read));
  UpdateReadiness(Now());
}

void
control::ServersChanged(clock::time_point aNow)
{
  std::vector<proxy::server> servers;
  for (const auto& [key, item] : mServersView.Items()) {
    std::string whyNot;
    if (auto read = mDocuments.ReadServer(key, item.value, whyNot)) {
      servers.push_back(std::move(*read));
    } else {
      log::Write(log::level::kError,
                 "server_unreadable",
                 { { "key", key }, { "reason", whyNot } });
    }
  }
  KeepMissing(servers, aNow);
  if (servers == mServers) {
    return;
  }
  mServers = servers;
  absl::btree_map<std::string, std::vector<lead::member>> members;
  for (const auto& one : servers) {
    members[one.service].push_back(
      { one.id, one.failureDomain == mSettings.failureDomain, one.draining });
  }
  for (auto& [service, listed] : members) {
    auto& place = mGroups[service];
    if (place == nullptr) {
      place = std::make_unique<group>(mLeadSettings);
    }
    place->lead.Configure(listed, aNow);
  }
  log::Write(
    log::level::kInfo,
    "servers_listed",
    { { "servers", static_cast<std::int64_t>(servers.size()) },
      { "revision", static_cast<std::int64_t>(mServersView.Seen()) } });
  mTraffic.SetServers(std::move(servers));
  UpdateReadiness(aNow);
  Perform(aNow);
}

// Entries of servers that live may lapse while the store is away, and are back
// soon after; until then the servers are kept.
void
control::KeepMissing(std::vector<proxy::server>& aServers,
                     clock::time_point aNow)
{
  for (const auto& one : aServers) {
    mMissing.erase(one.id);
  }
  for (const auto& old : mServers) {
    const bool listed =
      std::any_of(aServers.begin(), aServers.end(), [&old](const auto& aOne) {
        return aOne.id == old.id;
      });
    if (listed) {
      continue;
    }
    const auto since = mMissing.try_emplace(old.id, aNow).first->second;
    if (aNow - since < kMissingGrace) {
      aServers.push_back(old);
    } else {
      mMissing.erase(old.id);
    }
  }
}

void
control::OwnKeysChanged(clock::time_point aNow)
{
  mOwnKeys = ReadOwnKeys(mOwnView.Items());
  std::vector<news::peer> peers;
  std::vector<proxy::fleet_vm> fleet;
  for (const auto& [name, one] : mOwnKeys.vms) {
    const auto& record = one.record;
    peers.push_back(record.where);
    fleet.push_back({ name,
                      record.failureDomain,
                      record.where.address,
                      record.relayPort,
                      record.leaving });
  }
  mNews.SetPeers(peers);
  mTraffic.SetFleet(std::move(fleet));
  if (mListedAt == clock::time_point{} && mRegistration.IsListed()) {
    mListedAt = aNow;
    for (const auto& one : peers) {
      if (one.vm != mSelf.where.vm) {
        SendReachTo(one.vm, true, aNow);
      }
    }
  }
  NoteVms(aNow);
  UpdateReadiness(aNow);
  Tick();
}

void
control::NoteStore(const std::string& aWhat,
                   bool aIsReached,
                   std::error_code aWhy)
{
  mMetrics.StoreCalled(aIsReached ? "regained" : "lost");
  log::Write(
    aIsReached ? log::level::kInfo : log::level::kWarning,
    aIsReached ? "store_regained" : "store_lost",
    { { "what", aWhat }, { "reason", aWhy ? aWhy.message() : std::string() } });
}

void
control::Tick()
{
  const auto now = Now();
  TickStore(now);
  const bool waned =
    std::any_of(mMissing.begin(), mMissing.end(), [now](const auto& aEntry) {
      return now - aEntry.second >= kMissingGrace;
    });
  if (waned) {
    ServersChanged(now);
  }
  for (auto& [service, one] : mGroups) {
    KeepDuty(service, *one, now);
    one->lead.SetMayAsk(mRegistration.IsWritten());
    one->lead.Tick(now);
  }
  if (now >= mNextReach) {
    const auto vms = static_cast<int>(mOwnKeys.vms.size());
    mNextReach =
      now + std::clamp(kReachByVm * vms, kShortestReach, kLongestReach);
    SendReach(now);
  }
  UpdateReadiness(now);
  Perform(now);
}

void
control::TickStore(clock::time_point aNow)
{
  mConfigurationView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mServersView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mOwnView.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
  mRegistration.Tick(aNow, absl::Uniform<double>(mRandom, 0, 1));
}

// Carries out what the groups' leads ask for, then sends the news of it.
void
control::Perform(clock::time_point aNow)
{
  for (auto& [service, one] : mGroups) {
    PerformOne(service, *one);
  }
  SendWatch(aNow);
  Schedule();
}

void
control::PerformOne(const std::string& aService, group& aGroup)
{
  for (const auto& action : aGroup.lead.TakeActions()) {
    std::visit([&](const auto& aAction) { Do(aService, aAction); }, action);
  }
}

void
control::Do(const std::string& aService, const lead::ask_server& aAction)
{
  mTraffic.Order(
    aAction.server,
    aAction.what,
    aAction.direct,
    mLeadSettings.askTimeout,
    [this, aService, server = aAction.server](
      proxy::order_result aResult, std::optional<clock::time_point> aHeardAt) {
      boost::asio::post(mContext, [this, aService, server, aResult, aHeardAt] {
        auto* found = Find(aService);
        if (found == nullptr) {
          return;
        }
        const auto now = Now();
        if (aResult.answered) {
          found->lead.ServerAnswered(
            server, aResult.report, aResult.askedAt, now);
        } else {
          found->lead.ServerFailed(server, aHeardAt, now);
        }
        Perform(now);
      });
    });
}

// The right to order is read from the store first: this VM may have lost it
// without having noticed.
void
control::Do(const std::string& aService, const lead::order_promotion& aAction)
{
  const auto asked = Now();
  mPlatform.store->Get(
    DutyKey(aService),
    [this, aService, asked, server = aAction.server](
      std::error_code aError,
      std::optional<store::item> aItem,
      clock::time_point aNow) {
      const auto duty = aItem ? ReadDuty(*aItem) : std::nullopt;
      const bool held = !aError && duty && duty->holder == mSelf.where.vm &&
                        duty->incarnation == mSelf.incarnation &&
                        Now() < asked + kDutyCheckLife &&
                        Now() + kLeaseReserve < mRegistration.ValidUntil();
      if (!held) {
        log::Write(log::level::kWarning,
                   "promotion_not_ordered",
                   { { "service", aService },
                     { "server", server },
                     { "reason",
                       aError ? aError.message()
                              : std::string("the duty is not held") } });
        PromotionEnded(aService, promotion_outcome::kLater, aNow);
        return;
      }
      Promote(aService, server, duty->epoch);
    });
}

void
control::Promote(const std::string& aService,
                 const upstream::server_id& aServer,
                 std::uint64_t aEpoch)
{
  log::Write(log::level::kInfo,
             "promotion_ordered",
             { { "service", aService },
               { "server", aServer },
               { "epoch", static_cast<std::int64_t>(aEpoch) } });
  mPlatform.promotion->Promote(
    aService,
    aServer,
    { mSelf.where.vm, aEpoch },
    [this, aService](promotion_outcome aOutcome, clock::time_point aNow) {
      PromotionEnded(aService, aOutcome, aNow);
    });
}

void
control::PromotionEnded(const std::string& aService,
                        promotion_outcome aOutcome,
                        clock::time_point aNow)
{
  log::Write(log::level::kInfo,
             "promotion_answered",
             { { "service", aService },
               { "outcome", static_cast<std::int64_t>(aOutcome) } });
  if (auto* found = Find(aService)) {
    found->lead.PromotionAnswered(aOutcome == promotion_outcome::kTaken,
                                  aOutcome == promotion_outcome::kRejected,
                                  aNow);
    Perform(aNow);
  }
}

// Whoever changes a primary must know all that may rest on proofs of it.
void
control::Do(const std::string& aService, const lead::list_vms& /*aAction*/)
{
  const auto asked = Now();
  mPlatform.store->Range(
    VmKey(""),
    [this, aService, asked](std::error_code aError,
                            const std::vector<store::item>& aItems,
                            store::revision,
                            clock::time_point aNow) {
      auto* found = Find(aService);
      if (aError || found == nullptr) {
        return;
      }
      for (const auto& item : aItems) {
        if (const auto record = ReadVm(item)) {
          mKnownVms[record->where.vm] = aNow;
        }
      }
      found->lead.VmsListed(KnownVms(aNow), asked, aNow);
      Perform(aNow);
    });
}

void
control::NoteVms(clock::time_point aNow)
{
  for (const auto& [name, one] : mOwnKeys.vms) {
    mKnownVms[name] = aNow;
  }
}

// The other VMs that are listed now, or were listed or heard lately.
std::vector<std::string>
control::KnownVms(clock::time_point aNow)
{
  NoteVms(aNow);
  std::vector<std::string> known;
  for (const auto& [name, at] : mKnownVms) {
    const auto heard = mNews.HeardAt(name).value_or(at);
    if (name != mSelf.where.vm && aNow - std::max(at, heard) < kVmMemory) {
      known.push_back(name);
    }
  }
  return known;
}

void
control::Do(const std::string& aService, const lead::publish_proof& aAction)
{
  mTraffic.Confirm(aService, aAction.proof);
  if (auto* found = Find(aService)) {
    found->hasNews = true;
  }
}

void
control::Do(const std::string& aService, const lead::publish_sample& aAction)
{
  mTraffic.AddSample(aService, aAction.sample);
}

// Others are told, or the one who asked for it, once traffic has let go.
void
control::Do(const std::string& aService,
            const lead::publish_revocation& aAction)
{
  mTraffic.Revoke(aService, aAction.term, [this, aService] {
    boost::asio::post(mContext, [this, aService] {
      const auto holder = HolderOf(aService);
      if (!holder.empty() && holder != mSelf.where.vm) {
        SendReachTo(holder, false, Now());
      }
    });
  });
  if (auto* found = Find(aService)) {
    found->hasNews = true;
  }
}

void
control::Do(const std::string& aService, const lead::note_step& aAction)
{
  mMetrics.LeadChanged(aAction.step);
  log::Write(log::level::kInfo,
             "lead",
             { { "service", aService },
               { "step", aAction.step },
               { "detail", aAction.detail } });
}

void
control::KeepDuty(const std::string& aService,
                  group& aGroup,
                  clock::time_point aNow)
{
  const auto* duty = DutyOf(aService);
  const bool isOwn = duty != nullptr && duty->holder == mSelf.where.vm &&
                     duty->incarnation == mSelf.incarnation;
  const bool holds = isOwn && !mIsLeaving && mRegistration.IsListed() &&
                     aNow < mRegistration.ValidUntil();
  if (holds != aGroup.lead.HoldsDuty()) {
    log::Write(
      log::level::kInfo,
      holds ? "duty_held" : "duty_lost",
      { { "service", aService },
        { "epoch",
          static_cast<std::int64_t>(duty == nullptr ? 0 : duty->epoch) } });
  }
  aGroup.lead.SetDuty(holds, duty == nullptr ? 0 : duty->epoch, aNow);
  const bool mayClaim =
    !isOwn && !mIsLeaving && !aGroup.isClaiming && aNow >= aGroup.claimFrom &&
    mListedAt != clock::time_point{} && aNow >= mListedAt + kSettleTime &&
    mRegistration.IsListed() && mOwnView.IsReached();
  if (mayClaim && ShouldClaim(mOwnKeys, aService, mSelf)) {
    Claim(aService, aGroup, aNow);
  }
}

void
control::Claim(const std::string& aService,
               group& aGroup,
               clock::time_point aNow)
{
  aGroup.isClaiming = true;
  aGroup.claimFrom = aNow + kClaimPause;
  mPlatform.store->Commit(
    ClaimOf(mOwnKeys, aService, mSelf, mOwnView.Seen()),
    [this, aService](
      store::commit_outcome aOutcome, store::revision, clock::time_point) {
      log::Write(log::level::kInfo,
                 "duty_claimed",
                 { { "service", aService },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
      if (auto* found = Find(aService)) {
        found->isClaiming = false;
      }
    });
}

// The word of the VM that watches a group, to all others.
void
control::SendWatch(clock::time_point aNow)
{
  news::News told;
  for (auto& [service, one] : mGroups) {
    if (std::exchange(one->hasNews, false) && one->lead.HoldsDuty()) {
      Fill(*told.add_watches(), service, one->lead.Watch());
    }
  }
  if (told.watches_size() == 0) {
    return;
  }
  FillChanges(told);
  for (const auto& vm : Peers()) {
    mNews.Send(vm, told, aNow);
  }
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
  const auto now = Now();
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    mHeard[aServices[i]] = aHeard[i];
  }
  std::vector<std::string> holders;
  for (const auto& service : aServices) {
    auto holder = HolderOf(service);
    const bool isNew =
      std::find(holders.begin(), holders.end(), holder) == holders.end();
    if (!holder.empty() && holder != mSelf.where.vm && isNew) {
      SendReachTo(holder, false, now);
      holders.push_back(std::move(holder));
    }
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
    if (HolderOf(service) == aVm) {
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
  mConfigurationView.HeardOf(aNews.configuration_change(), aNow);
  mServersView.HeardOf(aNews.servers_change(), aNow);
  mOwnView.HeardOf(aNews.own_change(), aNow);
  if (aNews.answer()) {
    for (auto& [service, one] : mGroups) {
      one->hasNews = one->hasNews || one->lead.HoldsDuty();
    }
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

void
control::UpdateReadiness(clock::time_point aNow)
{
  bool proven = !mGroups.empty();
  for (const auto& [service, one] : mGroups) {
    proven =
      proven && aNow < one->lead.Proof().askedAt + mLeadSettings.validity;
  }
  const bool known =
    mVersion != 0 && !mServers.empty() && mListedAt != clock::time_point{};
  const bool enough =
    proven || aNow >= mListedAt + kReadyWithoutProof || mIsReady;
  const bool ready = known && enough && !mIsLeaving;
  if (ready != mIsReady) {
    mIsReady = ready;
    log::Write(log::level::kInfo,
               ready ? "ready" : "not_ready",
               { { "version", static_cast<std::int64_t>(mVersion) },
                 { "servers", static_cast<std::int64_t>(mServers.size()) },
                 { "proven", proven } });
  }
}

void
control::Schedule()
{
  auto next = std::min({ mConfigurationView.NextTick(),
                         mServersView.NextTick(),
                         mOwnView.NextTick(),
                         mRegistration.NextTick(),
                         mNextReach });
  for (const auto& [service, one] : mGroups) {
    next = std::min(next, one->lead.NextTick());
  }
  mTicker.At(next);
}

control::group*
control::Find(const std::string& aService)
{
  const auto found = mGroups.find(aService);
  return found == mGroups.end() ? nullptr : found->second.get();
}

std::vector<std::string>
control::Peers() const
{
  std::vector<std::string> peers;
  for (const auto& [name, one] : mOwnKeys.vms) {
    if (name != mSelf.where.vm) {
      peers.push_back(name);
    }
  }
  return peers;
}

std::string
control::HolderOf(const std::string& aService) const
{
  const auto* duty = DutyOf(aService);
  return duty == nullptr ? std::string() : duty->holder;
}

const duty_record*
control::DutyOf(const std::string& aService) const
{
  const auto found = mOwnKeys.duties.find(aService);
  return found == mOwnKeys.duties.end() ? nullptr : &found->second.record;
}

} // namespace currantshed::node
