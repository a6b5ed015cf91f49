#include "currantshed/node/control.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "currantshed/clock/now.hpp"
#include "currantshed/log/log.hpp"

namespace currantshed::node {

namespace {

using std::chrono::milliseconds;
// How long a VM waits after it is listed before it claims a failover lock. When
// all VMs start together, this spreads the locks over them.
constexpr milliseconds kClaimDelay{ 400 };
constexpr milliseconds kClaimPause{ 500 };
// Number of a primary's positions kept for VMs that begin to use its group. One
// is announced every 350 ms, so that they span the maximum staleness of reads,
// 2.5 s.
constexpr std::size_t kRecentSamples = 7;

std::int64_t
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

// Carries out the actions that the groups' leads have requested, then sends the
// resulting messages.
void
control::PerformActions(clock::time_point aNow)
{
  const auto pendingGroups = mScheduler.TakePending();
  for (const auto& service : pendingGroups) {
    PerformActionsOf(service, *Find(service));
  }
  SendWatchUpdates(aNow);
  SendOwnConfirmations(pendingGroups, aNow);
  ForwardWatchUpdates(aNow);
  SendReachQueries(pendingGroups, aNow);
  ForwardReachUpdates(aNow);
  for (const auto& service : pendingGroups) {
    mScheduler.SetDue(service, Find(service)->monitor.NextTick());
  }
  Schedule();
}

void
control::PerformActionsOf(const std::string& aService, group& aGroup)
{
  for (const auto& action : aGroup.monitor.TakeActions()) {
    std::visit([&](const auto& aAction) { Execute(aService, aAction); },
               action);
  }
}

void
control::Execute(const std::string& aService, const lead::send_command& aAction)
{
  mTraffic.SendControl(
    aAction.server,
    aAction.command,
    aAction.direct,
    mMonitorSettings.askTimeout,
    [this, aService, server = aAction.server](
      proxy::control_result aResult,
      std::optional<clock::time_point> aHeardAt) {
      boost::asio::post(mContext, [this, aService, server, aResult, aHeardAt] {
        auto* found = MarkPending(aService);
        if (found == nullptr) {
          return;
        }
        const auto now = clock::Now();
        if (aResult.answered) {
          found->monitor.ServerAnswered(
            server, aResult.report, aResult.askedAt, now);
        } else {
          found->monitor.ServerFailed(server, aHeardAt, now);
        }
        PerformActions(now);
      });
    });
}

// Before a promotion the failover lock is read from the store, because this VM
// may have lost it unnoticed. The term to be replaced is recorded before the
// order is sent.
void
control::Execute(const std::string& aService,
                 const lead::request_promotion& aAction)
{
  const auto askedAt = clock::Now();
  if (!mOrders.MayOrder(aService)) {
    PromotionNotOrdered(
      aService, aAction.server, "stopping, or an order is in progress");
    return;
  }
  mStore.Get(
    FailoverLockKey(aService),
    [this, aService, askedAt, aAction](std::error_code aError,
                                       std::optional<store::item> aItem,
                                       store::response_info) {
      auto lock = aItem ? ParseFailoverLock(*aItem) : std::nullopt;
      if (aError || !lock || !IsOwnLock(*lock) ||
          !IsFromEra(*lock, aItem->changed.era)) {
        PromotionNotOrdered(aService,
                            aAction.server,
                            aError ? aError.message() : "the duty is not held");
      } else if (lock->terms != aAction.terms) {
        lock->terms = aAction.terms;
        RecordReplaced(aService, aAction.server, *lock, aItem->changed);
      } else {
        Promote(aService, aAction.server, lock->epoch, askedAt);
      }
    });
}

// Conditional on the record that this VM knows, which shows that it holds the
// lock.
void
control::Execute(const std::string& aService, const lead::record_terms& aAction)
{
  const auto found = mClusterState.locks.find(aService);
  if (found == mClusterState.locks.end() || !IsOwnLock(found->second.record) ||
      !ReachesStore()) {
    return;
  }
  auto lock = found->second.record;
  lock.terms = aAction.terms;
  CommitLock(aService,
             lock,
             found->second.changed,
             [aService,
              text = lead::ToText(lock.terms)](store::commit_outcome aOutcome) {
               log::Write(
                 log::level::kInfo,
                 "terms_recorded",
                 { { "service", aService },
                   { "terms", text },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
             });
}

// Writes the lock's record if it has not changed since the given revision.
void
control::CommitLock(const std::string& aService,
                    const failover_lock& aLock,
                    store::revision aChanged,
                    std::function<void(store::commit_outcome)> aDone)
{
  const auto key = FailoverLockKey(aService);
  store::transaction transaction;
  transaction.conditions.push_back({ key, aChanged });
  transaction.puts.push_back({ key, SerializeFailoverLock(aLock), {}, {} });
  mStore.Commit(
    std::move(transaction),
    [done = std::move(aDone)](store::commit_outcome aOutcome,
                              store::revision,
                              store::response_info) { done(aOutcome); });
}

// Whether this process acquired the lock.
bool
control::IsOwnLock(const failover_lock& aLock) const
{
  return aLock.holder == mSelf.where.vm &&
         aLock.incarnation == mSelf.incarnation;
}

// The write is conditional on the record that was read, so that its success
// also shows that the lock is still held.
void
control::RecordReplaced(const std::string& aService,
                        const upstream::server_id& aServer,
                        const failover_lock& aLock,
                        store::revision aChanged)
{
  CommitLock(
    aService,
    aLock,
    aChanged,
    [this, aService, aServer, epoch = aLock.epoch, askedAt = clock::Now()](
      store::commit_outcome aOutcome) {
      if (aOutcome == store::commit_outcome::kApplied) {
        Promote(aService, aServer, epoch, askedAt);
      } else {
        PromotionNotOrdered(
          aService, aServer, "the replaced term is not recorded");
      }
    });
}

void
control::PromotionNotOrdered(const std::string& aService,
                             const upstream::server_id& aServer,
                             std::string aReason)
{
  log::Write(log::level::kWarning,
             "promotion_not_ordered",
             { { "service", aService },
               { "server", aServer },
               { "reason", std::move(aReason) } });
  boost::asio::post(mContext, [this, aService, aServer] {
    PromotionAnswered(aService, aServer, promotion_outcome::kRetryLater);
  });
}

void
control::Promote(const std::string& aService,
                 const upstream::server_id& aServer,
                 std::uint64_t aEpoch,
                 clock::time_point aCheckedAt)
{
  if (!mOrders.MayOrder(aService)) {
    PromotionNotOrdered(
      aService, aServer, "stopping, or an order is in progress");
    return;
  }
  mOrders.Begin(aService);
  log::Write(log::level::kInfo,
             "promotion_ordered",
             { { "service", aService },
               { "server", aServer },
               { "epoch", static_cast<std::int64_t>(aEpoch) } });
  mPlatform.promotion->Promote(
    aService,
    aServer,
    { mSelf.where.vm, aEpoch },
    [this, aService, aServer, aEpoch, aCheckedAt] {
      return PromotionTimeLeft(aService, aServer, aEpoch, aCheckedAt);
    },
    [this, aService, aServer](promotion_outcome aOutcome, clock::time_point) {
      OnPromotionResult(aService, aServer, aOutcome);
    });
}

// Runs when the order's connection is ready: until then the lock, the lease or
// the takeover may have ended.
milliseconds
control::PromotionTimeLeft(const std::string& aService,
                           const upstream::server_id& aServer,
                           std::uint64_t aEpoch,
                           clock::time_point aCheckedAt) const
{
  const auto now = clock::Now();
  const auto* lock = LockOf(aService);
  const auto* found = Find(aService);
  const bool isHeld =
    lock != nullptr && IsOwnLock(*lock) && lock->epoch == aEpoch;
  const bool isWanted =
    isHeld && found != nullptr && found->monitor.IsPromoting(aServer);
  const auto left =
    OrderTimeLeft({ aCheckedAt, mRegistration.ValidUntil(), isWanted }, now);
  const bool isWritten = left > milliseconds::zero();
  log::Write(
    isWritten ? log::level::kInfo : log::level::kWarning,
    isWritten ? "promotion_sent" : "promotion_withdrawn",
    { { "service", aService },
      { "server", aServer },
      { "epoch", static_cast<std::int64_t>(aEpoch) },
      { "lock_held", isHeld },
      { "wanted", isWanted },
      { "checked_ms", Milliseconds(now - aCheckedAt) },
      { "lease_ms", Milliseconds(mRegistration.ValidUntil() - now) } });
  return left;
}

void
control::OnPromotionResult(const std::string& aService,
                           const upstream::server_id& aServer,
                           promotion_outcome aOutcome)
{
  log::Write(log::level::kInfo,
             "promotion_answered",
             { { "service", aService },
               { "server", aServer },
               { "outcome", static_cast<std::int64_t>(aOutcome) } });
  mOrders.End(aService);
  PromotionAnswered(aService, aServer, aOutcome);
  ReleaseLocks();
}

void
control::PromotionAnswered(const std::string& aService,
                           const upstream::server_id& aServer,
                           promotion_outcome aOutcome)
{
  if (auto* found = MarkPending(aService)) {
    const auto now = clock::Now();
    found->monitor.PromotionAnswered(aServer, aOutcome, now);
    PerformActions(now);
  }
}

// A VM that stops is recorded as draining, which lets others acquire its locks.
void
control::ReleaseLocks()
{
  if (!mOrders.MayReleaseLocks() || mSelf.draining) {
    return;
  }
  mSelf.draining = true;
  mRegistration.SetValue(SerializeVm(mSelf));
  Tick();
}

void
control::Execute(const std::string& aService,
                 const lead::read_replaced_term& /*aAction*/)
{
  if (!ReachesStore()) {
    boost::asio::post(mContext, [this, aService] {
      if (auto* found = MarkPending(aService)) {
        found->monitor.ReplacedTermRead(std::nullopt, clock::Now());
        PerformActions(clock::Now());
      }
    });
    return;
  }
  mStore.Get(
    FailoverLockKey(aService),
    [this, aService](std::error_code aError,
                     std::optional<store::item> aItem,
                     store::response_info aAnswer) {
      auto* found = MarkPending(aService);
      if (found == nullptr) {
        return;
      }
      const auto lock = aItem ? ParseFailoverLock(*aItem) : std::nullopt;
      std::optional<position::term_id> replaced;
      if (!aError && lock && IsFromEra(*lock, aItem->changed.era)) {
        replaced = lock->terms.replaced;
      } else if (!aError && !lock && !mWasRestored) {
        replaced = 0;
      }
      log::Write(log::level::kInfo,
                 "terms_checked",
                 { { "service", aService },
                   { "replaced",
                     replaced ? log::value(static_cast<std::int64_t>(*replaced))
                              : log::value(log::unknown{}) },
                   { "reason", aError ? aError.message() : std::string() } });
      found->monitor.ReplacedTermRead(replaced, aAnswer.at);
      PerformActions(aAnswer.at);
    });
}

// A VM that changes a primary must know all VMs that may use confirmations of
// it.
void
control::Execute(const std::string& aService, const lead::list_vms& /*aAction*/)
{
  const auto askedAt = clock::Now();
  mStore.Range(VmKey(""),
               [this, aService, askedAt](std::error_code aError,
                                         const std::vector<store::item>& aItems,
                                         store::revision,
                                         store::response_info aAnswer) {
                 const auto now = aAnswer.at;
                 auto* found = MarkPending(aService);
                 if (aError || found == nullptr) {
                   return;
                 }
                 for (const auto& item : aItems) {
                   if (const auto record = ParseVm(item)) {
                     mMembership.MarkSeen(record->where.vm, now);
                   }
                 }
                 found->monitor.VmsListed(
                   mMembership.MayUseConfirmation(now), askedAt, now);
                 PerformActions(now);
               });
}

void
control::Execute(const std::string& aService,
                 const lead::publish_confirmation& aAction)
{
  mTraffic.Confirm(aService, aAction.confirmation);
  const auto now = clock::Now();
  if (auto* found = Find(aService)) {
    found->hasOwnConfirmation = found->hasOwnConfirmation || aAction.isOwn;
    const bool isNewTerm = found->announcedTerm != aAction.confirmation.term;
    found->isForAllSubscribers = found->isForAllSubscribers || isNewTerm;
    found->announcedTerm = aAction.confirmation.term;
    if (found->monitor.AnnouncesStatus()) {
      mWatchBatch.AddGroup(aService, isNewTerm, now);
    }
  }
  mForwardingBatch.AddGroup(aService, false, now);
}

void
control::Execute(const std::string& aService,
                 const lead::publish_sample& aAction)
{
  mTraffic.AddSample(aService, aAction.sample);
  auto* found = Find(aService);
  if (found == nullptr) {
    return;
  }
  auto& recentSamples = found->recentSamples;
  if (!recentSamples.empty() &&
      recentSamples.back().term != aAction.sample.term) {
    recentSamples.clear();
  }
  recentSamples.push_back(aAction.sample);
  if (recentSamples.size() > kRecentSamples) {
    recentSamples.pop_front();
  }
}

// Sends the acknowledgement once the traffic thread no longer relies on the
// term.
void
control::Execute(const std::string& aService,
                 const lead::publish_revocation& aAction)
{
  mTraffic.Revoke(aService, aAction.term, [this, aService] {
    boost::asio::post(mContext, [this, aService] {
      const auto now = clock::Now();
      for (const auto& vm : AcknowledgementRecipients(aService, now)) {
        SendReachUpdateTo(vm, false, now);
      }
    });
  });
  const auto now = clock::Now();
  if (auto* found = Find(aService)) {
    found->isForAllSubscribers = true;
    if (found->monitor.AnnouncesStatus()) {
      mWatchBatch.AddGroup(aService, true, now);
    }
  }
  mForwardingBatch.AddGroup(aService, true, now);
}

void
control::Execute(const std::string& aService, const lead::log_step& aAction)
{
  mMetrics.CountLeadStep(aAction.step);
  log::Write(log::level::kInfo,
             "lead",
             { { "service", aService },
               { "step", aAction.step },
               { "detail", aAction.detail } });
}

// Whether a lock is held depends on more than the store's records only for the
// groups whose lock this VM holds or is to acquire. These are checked at every
// tick.
void
control::UpdateLocks(clock::time_point aNow)
{
  auto services = mLocks.TakeChangedGroups();
  services.insert(mLocks.OwnGroups().begin(), mLocks.OwnGroups().end());
  for (const auto& service : services) {
    if (auto* one = MarkPending(service)) {
      UpdateLock(service, *one, aNow);
    }
  }
}

void
control::SetMayConfirm()
{
  const bool mayConfirm = mRegistration.IsWritten();
  if (std::exchange(mMayConfirm, mayConfirm) == mayConfirm) {
    return;
  }
  for (auto& [service, one] : mGroups) {
    one->monitor.SetMayConfirm(mayConfirm);
  }
}

void
control::UpdateLockAssignments(const cluster_changes& aChanges)
{
  if (aChanges.isAll || !aChanges.vms.empty()) {
    mLocks.SetCandidates(mClusterState, LockCandidates(mClusterState));
  }
  if (aChanges.isAll) {
    mLocks.OnAllChanged(mClusterState);
    return;
  }
  for (const auto& vm : aChanges.vms) {
    mLocks.OnVmChanged(mClusterState, vm);
  }
  for (const auto& service : aChanges.locks) {
    mLocks.OnLockChanged(mClusterState, service);
  }
}

void
control::UpdateLock(const std::string& aService,
                    group& aGroup,
                    clock::time_point aNow)
{
  const auto* lock = LockOf(aService);
  const bool isOwn = lock != nullptr && IsOwnLock(*lock);
  const bool holds = isOwn && !mOrders.MayReleaseLocks() &&
                     mRegistration.IsListed() &&
                     aNow < mRegistration.ValidUntil();
  if (holds != aGroup.monitor.HoldsFailoverLock()) {
    log::Write(
      log::level::kInfo,
      holds ? "duty_held" : "duty_lost",
      { { "service", aService },
        { "epoch",
          static_cast<std::int64_t>(lock == nullptr ? 0 : lock->epoch) } });
  }
  if (lock != nullptr) {
    aGroup.monitor.SetTerms(lock->terms, aNow);
  }
  aGroup.monitor.SetFailoverLock(
    holds, lock == nullptr ? 0 : lock->epoch, aNow);
  const bool mayCall = !mIsDraining && mListedAt != clock::time_point{} &&
                       mRegistration.IsListed() && ReachesStore();
  const bool isNext = !isOwn && mayCall && mLocks.IsNextHolder(aService);
  const bool isFromEarlierEra =
    isOwn && !IsFromEra(*lock, mClusterView.Seen().era);
  // While the store is unavailable, the last lock holder goes on obtaining
  // confirmations for the others, who would otherwise all query the servers
  // themselves.
  const bool wasLastHolder = isOwn && !holds && !mIsDraining;
  aGroup.monitor.SetIsInterim(isNext || wasLastHolder);
  const bool mayClaim = (isNext || (isFromEarlierEra && mayCall)) &&
                        !aGroup.isClaimPending && aNow >= aGroup.nextClaimAt &&
                        aNow >= mListedAt + kClaimDelay;
  if (mayClaim) {
    mRegistration.SetLease(ShortLease());
  }
  if (mayClaim && mRegistration.IsWrittenWith(ShortLease())) {
    ClaimLock(aService, aGroup, aNow);
  }
}

void
control::ClaimLock(const std::string& aService,
                   group& aGroup,
                   clock::time_point aNow)
{
  aGroup.isClaimPending = true;
  aGroup.nextClaimAt = aNow + kClaimPause;
  mStore.Commit(
    MakeLockClaim(mClusterState,
                  aService,
                  mSelf,
                  mClusterView.Seen(),
                  aGroup.monitor.Terms()),
    [this, aService](
      store::commit_outcome aOutcome, store::revision, store::response_info) {
      log::Write(log::level::kInfo,
                 "duty_claimed",
                 { { "service", aService },
                   { "outcome", static_cast<std::int64_t>(aOutcome) } });
      if (auto* found = Find(aService)) {
        found->isClaimPending = false;
      }
    });
}

std::string
control::LockHolderOf(const std::string& aService) const
{
  const auto* lock = LockOf(aService);
  return lock == nullptr ? std::string() : lock->holder;
}

const failover_lock*
control::LockOf(const std::string& aService) const
{
  const auto found = mClusterState.locks.find(aService);
  return found == mClusterState.locks.end() ? nullptr : &found->second.record;
}

} // namespace currantshed::node
