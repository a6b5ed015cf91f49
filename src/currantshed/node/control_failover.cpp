#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;
// How long the first VMs wait for the others before one claims a duty, so
// that the duties are spread.
constexpr milliseconds kSettleTime{ 400 };
constexpr milliseconds kClaimPause{ 500 };
// An order to promote must go out this soon after the store has shown that
// the duty is still held.
constexpr milliseconds kDutyCheckLife{ 300 };
// Positions of a primary that are kept for VMs that begin to use its group: one
// is told every 350 ms, so that these reach back as far as reads may, 2.5 s.
constexpr std::size_t kRecentSamples = 7;
// What must be left of the lease for the duty to count as held.
constexpr milliseconds kLeaseReserve{ 500 };

} // namespace

// Carries out what the groups' leads ask for, then sends the news of it.
void
control::Perform(clock::time_point aNow)
{
  const auto touched = mAgenda.TakePending();
  for (const auto& service : touched) {
    PerformOne(service, *Find(service));
  }
  SendWatch(aNow);
  PassOn(touched, aNow);
  PassWords(aNow);
  SendDoubts(touched, aNow);
  PassReaches(aNow);
  for (const auto& service : touched) {
    mAgenda.SetDue(service, Find(service)->lead.NextTick());
  }
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
control::Do(const std::string& aService, const lead::send_command& aAction)
{
  mTraffic.SendControl(
    aAction.server,
    aAction.command,
    aAction.direct,
    mLeadSettings.askTimeout,
    [this, aService, server = aAction.server](
      proxy::control_result aResult,
      std::optional<clock::time_point> aHeardAt) {
      boost::asio::post(mContext, [this, aService, server, aResult, aHeardAt] {
        auto* found = Touch(aService);
        if (found == nullptr) {
          return;
        }
        const auto now = clock::Now();
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
// without having noticed. The term that ends is recorded before the order.
void
control::Do(const std::string& aService, const lead::request_promotion& aAction)
{
  const auto asked = clock::Now();
  mStore.Get(FailoverLockKey(aService),
             [this, aService, asked, aAction](std::error_code aError,
                                              std::optional<store::item> aItem,
                                              store::response_info aAnswer) {
               auto duty = aItem ? ParseFailoverLock(*aItem) : std::nullopt;
               if (aError || !duty || !HoldsDutySince(*duty, asked) ||
                   !IsFromEra(*duty, aItem->changed.era)) {
                 NotOrdered(aService,
                            aAction.server,
                            aError ? aError.message() : "the duty is not held",
                            aAnswer.at);
               } else if (duty->replacedTerm < aAction.replacedTerm) {
                 duty->replacedTerm = aAction.replacedTerm;
                 RecordReplaced(
                   aService, aAction.server, *duty, aItem->changed);
               } else {
                 Promote(aService, aAction.server, duty->epoch);
               }
             });
}

// Whether the record, asked for at the given time, lets this VM give orders.
bool
control::HoldsDutySince(const failover_lock& aDuty,
                        clock::time_point aAsked) const
{
  return aDuty.holder == mSelf.where.vm &&
         aDuty.incarnation == mSelf.incarnation &&
         clock::Now() < aAsked + kDutyCheckLife &&
         clock::Now() + kLeaseReserve < mRegistration.ValidUntil();
}

// The record is written over the one that was read, so that it shows the duty
// as well.
void
control::RecordReplaced(const std::string& aService,
                        const upstream::server_id& aServer,
                        failover_lock aDuty,
                        store::revision aChanged)
{
  const auto asked = clock::Now();
  const auto key = FailoverLockKey(aService);
  store::transaction made;
  made.conditions.push_back({ key, aChanged });
  made.puts.push_back({ key, SerializeFailoverLock(aDuty), {}, {} });
  mStore.Commit(std::move(made),
                [this, aService, aServer, duty = std::move(aDuty), asked](
                  store::commit_outcome aOutcome,
                  store::revision,
                  store::response_info aAnswer) {
                  if (aOutcome == store::commit_outcome::kApplied &&
                      HoldsDutySince(duty, asked)) {
                    Promote(aService, aServer, duty.epoch);
                  } else {
                    NotOrdered(aService,
                               aServer,
                               "the replaced term is not recorded",
                               aAnswer.at);
                  }
                });
}

void
control::NotOrdered(const std::string& aService,
                    const upstream::server_id& aServer,
                    std::string aReason,
                    clock::time_point aNow)
{
  log::Write(log::level::kWarning,
             "promotion_not_ordered",
             { { "service", aService },
               { "server", aServer },
               { "reason", std::move(aReason) } });
  PromotionEnded(aService, promotion_outcome::kRetryLater, aNow);
}

void
control::Do(const std::string& aService,
            const lead::read_replaced_term& /*aAction*/)
{
  if (!ReachesStore()) {
    boost::asio::post(mContext, [this, aService] {
      if (auto* found = Touch(aService)) {
        found->lead.ReplacedTermRead(std::nullopt, clock::Now());
        Perform(clock::Now());
      }
    });
    return;
  }
  mStore.Get(
    FailoverLockKey(aService),
    [this, aService](std::error_code aError,
                     std::optional<store::item> aItem,
                     store::response_info aAnswer) {
      auto* found = Touch(aService);
      if (found == nullptr) {
        return;
      }
      const auto duty = aItem ? ParseFailoverLock(*aItem) : std::nullopt;
      std::optional<position::term_id> replaced;
      if (!aError && duty && IsFromEra(*duty, aItem->changed.era)) {
        replaced = duty->replacedTerm;
      } else if (!aError && !duty && !mHasReturned) {
        replaced = 0;
      }
      log::Write(log::level::kInfo,
                 "terms_checked",
                 { { "service", aService },
                   { "replaced",
                     replaced ? log::value(static_cast<std::int64_t>(*replaced))
                              : log::value(log::unknown{}) },
                   { "reason", aError ? aError.message() : std::string() } });
      found->lead.ReplacedTermRead(replaced, aAnswer.at);
      Perform(aAnswer.at);
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
  if (auto* found = Touch(aService)) {
    found->lead.PromotionAnswered(aOutcome == promotion_outcome::kAccepted,
                                  aOutcome == promotion_outcome::kRejected,
                                  aNow);
    Perform(aNow);
  }
}

// Whoever changes a primary must know all that may rest on proofs of it.
void
control::Do(const std::string& aService, const lead::list_vms& /*aAction*/)
{
  const auto asked = clock::Now();
  mStore.Range(VmKey(""),
               [this, aService, asked](std::error_code aError,
                                       const std::vector<store::item>& aItems,
                                       store::revision,
                                       store::response_info aAnswer) {
                 const auto now = aAnswer.at;
                 auto* found = Touch(aService);
                 if (aError || found == nullptr) {
                   return;
                 }
                 for (const auto& item : aItems) {
                   if (const auto record = ParseVm(item)) {
                     mKnownVms.Seen(record->where.vm, now);
                   }
                 }
                 found->lead.VmsListed(
                   mKnownVms.MayUseConfirmation(now), asked, now);
                 Perform(now);
               });
}

void
control::Do(const std::string& aService,
            const lead::publish_confirmation& aAction)
{
  mTraffic.Confirm(aService, aAction.confirmation);
  const auto now = clock::Now();
  if (auto* found = Find(aService)) {
    found->passesOn = found->passesOn || aAction.isOwn;
    const bool isNewTerm = found->toldTerm != aAction.confirmation.term;
    found->isForAll = found->isForAll || isNewTerm;
    found->toldTerm = aAction.confirmation.term;
    if (found->lead.AnnouncesStatus()) {
      mWatches.AddGroup(aService, isNewTerm, now);
    }
  }
  mRelays.AddGroup(aService, false, now);
}

void
control::Do(const std::string& aService, const lead::publish_sample& aAction)
{
  mTraffic.AddSample(aService, aAction.sample);
  auto* found = Find(aService);
  if (found == nullptr) {
    return;
  }
  auto& recent = found->recent;
  if (!recent.empty() && recent.back().term != aAction.sample.term) {
    recent.clear();
  }
  recent.push_back(aAction.sample);
  if (recent.size() > kRecentSamples) {
    recent.pop_front();
  }
}

// Others are told, or the one who asked for it, once traffic has let go.
void
control::Do(const std::string& aService,
            const lead::publish_revocation& aAction)
{
  mTraffic.Revoke(aService, aAction.term, [this, aService] {
    boost::asio::post(mContext, [this, aService] {
      const auto now = clock::Now();
      for (const auto& vm : ObedienceAudience(aService, now)) {
        SendReachTo(vm, false, now);
      }
    });
  });
  const auto now = clock::Now();
  if (auto* found = Find(aService)) {
    found->isForAll = true;
    if (found->lead.AnnouncesStatus()) {
      mWatches.AddGroup(aService, true, now);
    }
  }
  mRelays.AddGroup(aService, true, now);
}

void
control::Do(const std::string& aService, const lead::log_step& aAction)
{
  mMetrics.CountLeadStep(aAction.step);
  log::Write(log::level::kInfo,
             "lead",
             { { "service", aService },
               { "step", aAction.step },
               { "detail", aAction.detail } });
}

// Only the groups whose duty this VM has or is to take depend on more than the
// store's records, and so are looked at all the while.
void
control::KeepDuties(clock::time_point aNow)
{
  auto services = mDuties.TakeChangedGroups();
  services.insert(mDuties.OwnGroups().begin(), mDuties.OwnGroups().end());
  for (const auto& service : services) {
    if (auto* one = Touch(service)) {
      KeepDuty(service, *one, aNow);
    }
  }
}

void
control::SetMayConfirm()
{
  const bool mayAsk = mRegistration.IsWritten();
  if (std::exchange(mMayAsk, mayAsk) == mayAsk) {
    return;
  }
  for (auto& [service, one] : mGroups) {
    one->lead.SetMayConfirm(mayAsk);
  }
}

void
control::NoteDuties(const cluster_changes& aChanges)
{
  if (aChanges.isAll || !aChanges.vms.empty()) {
    mDuties.SetCandidates(mOwnKeys, LockCandidates(mOwnKeys));
  }
  if (aChanges.isAll) {
    mDuties.OnAllChanged(mOwnKeys);
    return;
  }
  for (const auto& vm : aChanges.vms) {
    mDuties.OnVmChanged(mOwnKeys, vm);
  }
  for (const auto& service : aChanges.locks) {
    mDuties.OnLockChanged(mOwnKeys, service);
  }
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
  if (holds != aGroup.lead.HoldsFailoverLock()) {
    log::Write(
      log::level::kInfo,
      holds ? "duty_held" : "duty_lost",
      { { "service", aService },
        { "epoch",
          static_cast<std::int64_t>(duty == nullptr ? 0 : duty->epoch) } });
  }
  if (duty != nullptr) {
    aGroup.lead.SetReplacedTerm(duty->replacedTerm, aNow);
  }
  aGroup.lead.SetFailoverLock(holds, duty == nullptr ? 0 : duty->epoch, aNow);
  const bool mayCall = !mIsLeaving && mListedAt != clock::time_point{} &&
                       mRegistration.IsListed() && ReachesStore();
  const bool isNext = !isOwn && mayCall && mDuties.IsNextHolder(aService);
  const bool isPast = isOwn && !IsFromEra(*duty, mOwnView.Seen().era);
  // While the store is away the VM that had the duty goes on proving the
  // primary for the others, who would else all ask the servers themselves.
  const bool isLast = isOwn && !holds && !mIsLeaving;
  aGroup.lead.SetIsInterim(isNext || isLast);
  const bool mayClaim = (isNext || (isPast && mayCall)) && !aGroup.isClaiming &&
                        aNow >= aGroup.claimFrom &&
                        aNow >= mListedAt + kSettleTime;
  if (mayClaim) {
    mRegistration.SetLease(ShortLease());
  }
  if (mayClaim && mRegistration.IsWrittenWith(ShortLease())) {
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
  mStore.Commit(
    MakeLockClaim(
      mOwnKeys, aService, mSelf, mOwnView.Seen(), aGroup.lead.ReplacedTerm()),
    [this, aService](
      store::commit_outcome aOutcome, store::revision, store::response_info) {
      log::Write(log::level::kInfo,
                 "duty_claimed",
                 { { "service", aService },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
      if (auto* found = Find(aService)) {
        found->isClaiming = false;
      }
    });
}

std::string
control::HolderOf(const std::string& aService) const
{
  const auto* duty = DutyOf(aService);
  return duty == nullptr ? std::string() : duty->holder;
}

const failover_lock*
control::DutyOf(const std::string& aService) const
{
  const auto found = mOwnKeys.locks.find(aService);
  return found == mOwnKeys.locks.end() ? nullptr : &found->second.record;
}

} // namespace currantshed::node
