// The tasks of the lock holder: detects the loss of a primary, starts takeovers
// and repairs members afterwards.
#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kBusyPause;
using internal::kFailuresUntilLost;
using internal::kRetryPause;

namespace {

using std::chrono::milliseconds;

// How recently another VM must have heard from the primary for it not to count
// as lost.
constexpr milliseconds kReachValidity{ 600 };
// Apparent silence due to this VM's own delay, above which it records no
// outages: a third of the shortest one that counts.
constexpr milliseconds kMaxDelayAllowance{ 100 };
// How long no server must be primary before a takeover starts.
constexpr milliseconds kNoPrimaryAfter{ 1200 };
// The same, if the previous lock holder left the group without a primary and no
// promotion can be in flight: two poll rounds. The second is how long after the
// acquisition of the lock a new holder attributes such a state to the previous
// one.
constexpr milliseconds kInheritedNoPrimaryAfter{ 200 };
constexpr milliseconds kInheritedStateTime{ 1500 };
// A new lock holder takes no action for this long, so that a request of its
// predecessor has time to take effect.
constexpr milliseconds kInitialObservation{ 400 };

// Pause before the replaced terms are written to the store, and before they are
// written again.
constexpr milliseconds kRecordPause{ 1000 };

// Interval between log lines on a group without a confirmed primary.
constexpr milliseconds kUnconfirmedLogInterval{ 1000 };

std::int64_t
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

// Whether the member's last report is recent enough to tell who is primary.
bool
IsFresh(const member_view& aView, clock::time_point aNow)
{
  return aView.report && aNow - aView.askedAt < kNoPrimaryAfter;
}

} // namespace

void
group_monitor::MonitorPrimary(clock::time_point aNow)
{
  if (IsTakeoverActive()) {
    return;
  }
  const bool hasNoPrimary = HasNoPrimary(aNow);
  if (aNow < mLockHeldSince + kInitialObservation ||
      aNow < mTakeover.HoldOffUntil()) {
    return;
  }
  mMustAcknowledge.reset();
  LogKeptPrimary(aNow);
  const auto* primary = mTable.Find(mConfirmation.primary);
  if (mConfirmation.term != 0 && primary != nullptr && IsPrimaryLost(aNow)) {
    LogLostPrimary(*primary, aNow);
    mTakeover.Start(takeover_reason::kLost,
                    mConfirmation.primary,
                    mConfirmation.term,
                    aNow,
                    mActions);
    return;
  }
  // Without a valid confirmation of its own, this VM relies on reachability
  // updates from other VMs, which keep using the primary.
  const bool isInUse = aNow < mConfirmation.askedAt + mSettings.validity ||
                       IsReachableElsewhere(aNow);
  const bool isKnown = mConfirmation.term != 0 && primary != nullptr;
  const bool isLeaving = isKnown && primary->listed.draining && isInUse;
  const bool isUnstable =
    isKnown && isInUse && mOutages.IsUnstable(mConfirmation.primary, aNow);
  const auto& all = mTable.All();
  const bool canMove =
    std::any_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.report && !aOne.second.report->isPrimary &&
             !aOne.second.listed.draining;
    });
  if ((isLeaving || isUnstable) && canMove) {
    mTakeover.Start(isLeaving ? takeover_reason::kDraining
                              : takeover_reason::kUnstable,
                    mConfirmation.primary,
                    mConfirmation.term,
                    aNow,
                    mActions);
    return;
  }
  if (hasNoPrimary) {
    mTakeover.Start(
      takeover_reason::kNoPrimary,
      mConfirmation.primary,
      std::max({ mConfirmation.term, mReplaced, mTable.HighestLogTerm() }),
      aNow,
      mActions);
  }
}

// The lock holder has just confirmed the primary, so that all earlier terms are
// replaced. A primary whose last record is of an earlier term has written
// nothing yet, and its term begins there. Otherwise its start is known only if
// this VM ordered the promotion.
void
group_monitor::NoteTermStart(clock::time_point aNow)
{
  const auto term = mConfirmation.term;
  const auto* primary = mTable.Find(mConfirmation.primary);
  if (!mHoldsLock || term < 2 || primary == nullptr || !primary->report ||
      !primary->report->isPrimary || primary->report->term != term) {
    return;
  }
  const bool isOwnTakeover = IsTakeoverActive();
  const auto recorded = isOwnTakeover ? mTakeover.RecordedTerms() : mRecorded;
  auto terms =
    isOwnTakeover ? mTakeover.TermsBefore(mConfirmation.primary, term) : mTerms;
  terms.replaced = std::max(terms.replaced, term - 1);
  if (primary->report->received.term < term) {
    RecordEnd(terms, { term - 1, primary->report->received.index });
  }
  mTerms = Merge(mTerms, terms);
  if (HaveSameEnds(terms, recorded)) {
    return;
  }
  if (!mUnrecorded) {
    mNextRecord = aNow + kRecordPause;
  }
  mUnrecorded = std::move(terms);
}

// What follows from a confirmation is seldom different from what was recorded
// before the order: only if the promoted server received more until then, or if
// another order took effect. The pause gives the store time to show a record
// that was written before an order.
void
group_monitor::RecordTerms(clock::time_point aNow)
{
  if (mUnrecorded && mUnrecorded->replaced < mTerms.replaced) {
    mUnrecorded.reset();
  }
  if (!mUnrecorded || aNow < mNextRecord || IsTakeoverActive()) {
    return;
  }
  mNextRecord = aNow + kRecordPause;
  mActions.emplace_back(record_terms{ *mUnrecorded });
}

// Whether the primary is unreachable for this VM and for all VMs that sent
// recent updates. A VM that cannot reach any other member either may itself be
// cut off, and could not replace the primary.
bool
group_monitor::IsPrimaryLost(clock::time_point aNow) const
{
  const auto* primary = mTable.Find(mConfirmation.primary);
  const auto silentAfter = mSettings.silentAfter + DelayAllowance(aNow);
  if (primary->failures < kFailuresUntilLost ||
      aNow - primary->heardAt < silentAfter) {
    return false;
  }
  const auto& all = mTable.All();
  const bool reachesOthers =
    std::any_of(all.begin(), all.end(), [&](const auto& aOne) {
      const auto& view = aOne.second;
      return &view != primary && view.heardAt > primary->heardAt &&
             aNow - view.heardAt < silentAfter;
    });
  return reachesOthers && !IsReachableElsewhere(aNow);
}

// Records that the primary does not answer, if another member has answered
// since: otherwise this VM may be cut off itself. A VM that runs late cannot
// tell an outage from its own delay.
void
group_monitor::RecordOutage(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mConfirmation.primary);
  if (!mHoldsLock || primary == nullptr ||
      DelayAllowance(aNow) > kMaxDelayAllowance) {
    return;
  }
  const auto since = primary->heardAt;
  const auto& all = mTable.All();
  const bool othersAnswer =
    std::any_of(all.begin(), all.end(), [&](const auto& aOne) {
      return &aOne.second != primary && aOne.second.heardAt > since;
    });
  if (!othersAnswer) {
    return;
  }
  auto heardAt = primary->heardAt;
  for (const auto& [vm, reach] : mReachUpdates) {
    if (reach.update.primary == mConfirmation.primary) {
      heardAt = std::max(heardAt, reach.update.heardAt);
    }
  }
  mOutages.RecordDown(mConfirmation.primary, heardAt);
}

// The time by which this VM's own scheduling delay extends another one's
// apparent silence. Both the query and the answer may have been delayed that
// long.
clock::duration
group_monitor::DelayAllowance(clock::time_point aNow) const
{
  constexpr int kDirections = 2;
  return kDirections * mSchedulingDelay.At(aNow);
}

bool
group_monitor::SuspectsPrimary(clock::time_point aNow) const
{
  const auto* primary = mTable.Find(mConfirmation.primary);
  return mHoldsLock && (primary == nullptr || primary->failures > 0 ||
                        aNow >= mConfirmation.askedAt + mSettings.validity);
}

// Whether another VM has heard from the primary recently.
bool
group_monitor::IsReachableElsewhere(clock::time_point aNow) const
{
  return !ReachableFrom(aNow).empty();
}

// Logs once a second that the group has no confirmed primary, since when, and
// what the members report.
void
group_monitor::LogUnconfirmed(clock::time_point aNow)
{
  const auto confirmedUntil =
    std::max(mConfirmation.askedAt + mSettings.validity, mLockHeldSince);
  if (aNow <
      std::max(mNextUnconfirmedLog, confirmedUntil + kUnconfirmedLogInterval)) {
    return;
  }
  mNextUnconfirmedLog = aNow + kUnconfirmedLogInterval;
  std::size_t answering = 0;
  std::size_t leading = 0;
  std::size_t fenced = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool fresh = IsFresh(view, aNow);
    answering += fresh ? 1 : 0;
    leading += fresh && view.report->isPrimary ? 1 : 0;
    fenced += fresh && view.report->fencedAt != 0 ? 1 : 0;
  }
  mActions.emplace_back(
    log_step{ "unproved",
              absl::StrCat("since_ms=",
                           Milliseconds(aNow - confirmedUntil),
                           " primary=",
                           mConfirmation.primary,
                           " term=",
                           mConfirmation.term,
                           " replaced=",
                           mReplaced,
                           " change=",
                           std::string(NameOf(mTakeover.Step())),
                           " members=",
                           mTable.All().size(),
                           " answering=",
                           answering,
                           " leading=",
                           leading,
                           " fenced=",
                           fenced,
                           " heard_by=",
                           ReachableFrom(aNow)) });
}

// Logs the observations from which this VM concludes that the primary is lost.
void
group_monitor::LogLostPrimary(const member_view& aPrimary,
                              clock::time_point aNow)
{
  clock::time_point lastUpdateAt{};
  clock::time_point lastHeardAt{};
  for (const auto& [vm, reach] : mReachUpdates) {
    lastUpdateAt = std::max(lastUpdateAt, reach.at);
    if (reach.update.primary == mConfirmation.primary) {
      lastHeardAt = std::max(lastHeardAt, reach.update.heardAt);
    }
  }
  mActions.emplace_back(
    log_step{ "lost",
              absl::StrCat(mConfirmation.primary,
                           " silent_ms=",
                           Milliseconds(aNow - aPrimary.heardAt),
                           " failures=",
                           aPrimary.failures,
                           " members_silent=",
                           mTable.UnresponsiveCount(),
                           " last_word_ms=",
                           Milliseconds(aNow - lastUpdateAt),
                           " heard_elsewhere_ms=",
                           Milliseconds(aNow - lastHeardAt),
                           " late_ms=",
                           Milliseconds(mSchedulingDelay.At(aNow))) });
}

// A VM that has heard from the primary recently, or an empty name.
std::string
group_monitor::ReachableFrom(clock::time_point aNow) const
{
  if (mConfirmation.term <= mReplaced) {
    return {};
  }
  const auto validity = kReachValidity + DelayAllowance(aNow);
  const auto found = std::find_if(
    mReachUpdates.begin(), mReachUpdates.end(), [&](const auto& aEntry) {
      const auto& update = aEntry.second.update;
      return update.primary == mConfirmation.primary &&
             aNow - update.heardAt < validity;
    });
  return found == mReachUpdates.end() ? std::string() : found->first;
}

// Logs once per silent period which VM's updates keep the primary in place.
void
group_monitor::LogKeptPrimary(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mConfirmation.primary);
  const bool silent = primary != nullptr && primary->failures > 0 &&
                      aNow - primary->heardAt >= mSettings.silentAfter;
  const auto by = silent ? ReachableFrom(aNow) : std::string();
  if (by != mKeptBy && !by.empty()) {
    mActions.emplace_back(
      log_step{ "kept",
                absl::StrCat(mConfirmation.primary,
                             " heard_by=",
                             by,
                             " late_ms=",
                             Milliseconds(mSchedulingDelay.At(aNow))) });
  }
  mKeptBy = by;
}

// Whether the server has reported recently, and after its last confirmation,
// that it is not primary.
bool
group_monitor::DeniesLeadership(const member_view& aView,
                                clock::time_point aNow) const
{
  return IsFresh(aView, aNow) && !aView.report->isPrimary &&
         aView.askedAt > mConfirmation.askedAt;
}

// Whether a majority answers and no server is primary, or the last primary is
// no longer listed. Reachability updates of other VMs count only while that
// server does not itself report that it is not primary: it may have stepped
// down for a lock holder that then abandoned the takeover, and still answers
// reads.
bool
group_monitor::HasNoPrimary(clock::time_point aNow)
{
  std::size_t answering = 0;
  bool leads = false;
  for (const auto& [id, view] : mTable.All()) {
    const bool fresh = IsFresh(view, aNow);
    answering += fresh ? 1 : 0;
    leads = leads ||
            (fresh && view.report->isPrimary && view.report->term > mReplaced);
  }
  const auto* primary = mTable.Find(mConfirmation.primary);
  const bool unlisted = mConfirmation.term == 0 || primary == nullptr;
  const bool stale = aNow - mConfirmation.askedAt > kNoPrimaryAfter;
  const bool denies = !unlisted && DeniesLeadership(*primary, aNow);
  if (leads || answering < mTable.Majority() ||
      !(unlisted || stale || denies) ||
      (!denies && IsReachableElsewhere(aNow))) {
    mNoPrimarySince.reset();
    return false;
  }
  if (!mNoPrimarySince) {
    mNoPrimarySince = aNow;
  }
  // The previous lock holder left the group in this state. It would have
  // recorded the replaced term before a request to promote, so without that
  // record no server can become primary.
  const bool mayBeRequested = mReplaced >= mTable.HighestLogTerm();
  const bool isInherited = aNow < mLockHeldSince + kInheritedStateTime &&
                           !mayBeRequested &&
                           (denies || answering == mTable.All().size());
  return aNow - *mNoPrimarySince >
         (isInherited ? kInheritedNoPrimaryAfter : kNoPrimaryAfter);
}

// The term of a server that is primary but cannot be confirmed, because an
// earlier lock holder fenced its group and went no further; zero if there is
// none. That holder can no longer record the term as replaced, since it has
// lost the lock, and must not request a promotion without that record.
position::term_id
group_monitor::UnconfirmableTerm(clock::time_point aNow) const
{
  if (aNow < mLockHeldSince + kInitialObservation) {
    return 0;
  }
  position::term_id primaryTerm = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool leads = IsFresh(view, aNow) && view.report->isPrimary;
    primaryTerm = std::max(primaryTerm, leads ? view.report->term : 0);
  }
  return primaryTerm > mReplaced && primaryTerm >= mTable.HighestLogTerm()
           ? primaryTerm
           : 0;
}

// Repairs members after a takeover: old primaries are told to step down, and
// fences of a term that has been settled are lifted.
void
group_monitor::RepairMembers(clock::time_point aNow)
{
  const bool isConfirmed = aNow < mConfirmation.askedAt + mSettings.validity;
  const auto settledTerm =
    isConfirmed ? mConfirmation.term : UnconfirmableTerm(aNow);
  if (IsTakeoverActive() || settledTerm == 0) {
    return;
  }
  // Without a confirmation, the members are polled at short intervals anyway.
  const auto pause = isConfirmed ? kRetryPause : kBusyPause;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mConfirmation.primary || !view.report || view.pendingSince ||
        aNow < view.lastQueriedAt + pause) {
      continue;
    }
    proxy::command command;
    if (isConfirmed && view.report->isPrimary &&
        view.report->term < settledTerm) {
      command.kind = proxy::command_kind::kDemote;
      command.term = settledTerm;
    } else if (view.report->fencedAt >= settledTerm) {
      command.kind = proxy::command_kind::kUnfence;
    } else {
      continue;
    }
    auto& queried = *mTable.Find(id);
    queried.pendingSince = aNow;
    queried.lastQueriedAt = aNow;
    mActions.emplace_back(log_step{ "repair", id });
    mActions.emplace_back(send_command{ id, command });
  }
}

void
group_monitor::CheckAcknowledgements()
{
  const auto revoked = mTakeover.RevokedTerm();
  if (revoked == 0 || !mMustAcknowledge) {
    return;
  }
  const bool all = std::all_of(
    mMustAcknowledge->begin(), mMustAcknowledge->end(), [&](const auto& aVm) {
      const auto found = mReachUpdates.find(aVm);
      return found != mReachUpdates.end() &&
             found->second.update.acknowledgedTerm >= revoked &&
             found->second.update.sentAt >= mTakeover.StartedAt();
    });
  if (all) {
    mTakeover.AllAcknowledged();
  }
}

} // namespace currantshed::lead
