// The tasks of the lock holder: detects the loss of a primary, starts takeovers
// and repairs members afterwards.
#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kBusyPause;
using internal::kFailuresToLose;
using internal::kRetryPause;

namespace {

using std::chrono::milliseconds;

// How recently another VM must have heard from the primary for it not to count
// as lost.
constexpr milliseconds kReachLife{ 600 };
// How long no server must be primary before a takeover starts.
constexpr milliseconds kVacantAfter{ 1200 };
// The same, if the previous lock holder left the group without a primary and no
// promotion can be in flight: two poll rounds. The second is how long after the
// acquisition of the lock a new holder attributes such a state to the previous
// one.
constexpr milliseconds kSurelyVacantAfter{ 200 };
constexpr milliseconds kInheritance{ 1500 };
// A new lock holder takes no action for this long, so that a request of its
// predecessor has time to take effect.
constexpr milliseconds kFirstLook{ 400 };

// Interval between log lines on a group without a confirmed primary.
constexpr milliseconds kUnprovedPause{ 1000 };

std::int64_t
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

// Whether the member's last report is recent enough to tell who is primary.
bool
IsFresh(const member_view& aView, clock::time_point aNow)
{
  return aView.report && aNow - aView.askedAt < kVacantAfter;
}

} // namespace

void
group_monitor::Judge(clock::time_point aNow)
{
  if (IsTakeoverActive()) {
    return;
  }
  const bool isVacant = IsVacant(aNow);
  if (aNow < mLockHeldSince + kFirstLook || aNow < mTakeover.HoldOffUntil()) {
    return;
  }
  mMustObey.reset();
  NoteKept(aNow);
  const auto* primary = mTable.Find(mProof.primary);
  if (mProof.term != 0 && primary != nullptr && IsLost(aNow)) {
    NoteLost(*primary, aNow);
    mTakeover.Start(
      takeover_reason::kLost, mProof.primary, mProof.term, aNow, mActions);
    return;
  }
  // Without a valid confirmation of its own, this VM relies on reachability
  // updates from other VMs, which keep using the primary.
  const bool isInUse =
    aNow < mProof.askedAt + mSettings.validity || IsReachedElsewhere(aNow);
  const bool leaves = mProof.term != 0 && primary != nullptr &&
                      primary->listed.draining && isInUse;
  const auto& all = mTable.All();
  const bool canMove =
    std::any_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.report && !aOne.second.report->isPrimary &&
             !aOne.second.listed.draining;
    });
  if (leaves && canMove) {
    mTakeover.Start(
      takeover_reason::kDraining, mProof.primary, mProof.term, aNow, mActions);
    return;
  }
  if (isVacant) {
    mTakeover.Start(
      takeover_reason::kNoPrimary,
      mProof.primary,
      std::max({ mProof.term, mReplaced, mTable.HighestLogTerm() }),
      aNow,
      mActions);
  }
}

// Whether the primary is unreachable for this VM and for all VMs that sent
// recent updates. A VM that cannot reach any other member either may itself be
// cut off, and could not replace the primary.
bool
group_monitor::IsLost(clock::time_point aNow) const
{
  const auto* primary = mTable.Find(mProof.primary);
  const auto silentAfter = mSettings.silentAfter + OwnDelay(aNow);
  if (primary->failures < kFailuresToLose ||
      aNow - primary->heardAt < silentAfter) {
    return false;
  }
  const auto& all = mTable.All();
  const bool hearsOthers =
    std::any_of(all.begin(), all.end(), [&](const auto& aOne) {
      const auto& view = aOne.second;
      return &view != primary && view.heardAt > primary->heardAt &&
             aNow - view.heardAt < silentAfter;
    });
  return hearsOthers && !IsReachedElsewhere(aNow);
}

// The time by which this VM's own scheduling delay extends another one's
// apparent silence. Both the query and the answer may have been delayed that
// long.
clock::duration
group_monitor::OwnDelay(clock::time_point aNow) const
{
  constexpr int kWays = 2;
  return kWays * mLateness.At(aNow);
}

bool
group_monitor::SuspectsPrimary(clock::time_point aNow) const
{
  const auto* primary = mTable.Find(mProof.primary);
  return mHoldsLock && (primary == nullptr || primary->failures > 0 ||
                        aNow >= mProof.askedAt + mSettings.validity);
}

// Whether another VM has heard from the primary recently.
bool
group_monitor::IsReachedElsewhere(clock::time_point aNow) const
{
  return !ReachedBy(aNow).empty();
}

// Logs once a second that the group has no confirmed primary, since when, and
// what the members report.
void
group_monitor::NoteUnproved(clock::time_point aNow)
{
  const auto provedUntil =
    std::max(mProof.askedAt + mSettings.validity, mLockHeldSince);
  if (aNow < std::max(mNextUnproved, provedUntil + kUnprovedPause)) {
    return;
  }
  mNextUnproved = aNow + kUnprovedPause;
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
                           Milliseconds(aNow - provedUntil),
                           " primary=",
                           mProof.primary,
                           " term=",
                           mProof.term,
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
                           ReachedBy(aNow)) });
}

// Logs the observations from which this VM concludes that the primary is lost.
void
group_monitor::NoteLost(const member_view& aPrimary, clock::time_point aNow)
{
  clock::time_point told{};
  clock::time_point heard{};
  for (const auto& [vm, reach] : mReach) {
    told = std::max(told, reach.at);
    if (reach.news.primary == mProof.primary) {
      heard = std::max(heard, reach.news.heardAt);
    }
  }
  mActions.emplace_back(
    log_step{ "lost",
              absl::StrCat(mProof.primary,
                           " silent_ms=",
                           Milliseconds(aNow - aPrimary.heardAt),
                           " failures=",
                           aPrimary.failures,
                           " members_silent=",
                           mTable.UnresponsiveCount(),
                           " last_word_ms=",
                           Milliseconds(aNow - told),
                           " heard_elsewhere_ms=",
                           Milliseconds(aNow - heard),
                           " late_ms=",
                           Milliseconds(mLateness.At(aNow))) });
}

// A VM that has heard from the primary recently, or an empty name.
std::string
group_monitor::ReachedBy(clock::time_point aNow) const
{
  if (mProof.term <= mReplaced) {
    return {};
  }
  const auto life = kReachLife + OwnDelay(aNow);
  const auto found =
    std::find_if(mReach.begin(), mReach.end(), [&](const auto& aEntry) {
      const auto& news = aEntry.second.news;
      return news.primary == mProof.primary && aNow - news.heardAt < life;
    });
  return found == mReach.end() ? std::string() : found->first;
}

// Logs once per silent period which VM's updates keep the primary in place.
void
group_monitor::NoteKept(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mProof.primary);
  const bool silent = primary != nullptr && primary->failures > 0 &&
                      aNow - primary->heardAt >= mSettings.silentAfter;
  const auto by = silent ? ReachedBy(aNow) : std::string();
  if (by != mKeptBy && !by.empty()) {
    mActions.emplace_back(
      log_step{ "kept",
                absl::StrCat(mProof.primary,
                             " heard_by=",
                             by,
                             " late_ms=",
                             Milliseconds(mLateness.At(aNow))) });
  }
  mKeptBy = by;
}

// Whether the server has reported recently, and after its last confirmation,
// that it is not primary.
bool
group_monitor::DeniesToLead(const member_view& aView,
                            clock::time_point aNow) const
{
  return IsFresh(aView, aNow) && !aView.report->isPrimary &&
         aView.askedAt > mProof.askedAt;
}

// Whether a majority answers and no server is primary, or the last primary is
// no longer listed. Reachability updates of other VMs count only while that
// server does not itself report that it is not primary: it may have stepped
// down for a lock holder that then abandoned the takeover, and still answers
// reads.
bool
group_monitor::IsVacant(clock::time_point aNow)
{
  std::size_t answering = 0;
  bool leads = false;
  for (const auto& [id, view] : mTable.All()) {
    const bool fresh = IsFresh(view, aNow);
    answering += fresh ? 1 : 0;
    leads = leads ||
            (fresh && view.report->isPrimary && view.report->term > mReplaced);
  }
  const auto* primary = mTable.Find(mProof.primary);
  const bool unlisted = mProof.term == 0 || primary == nullptr;
  const bool stale = aNow - mProof.askedAt > kVacantAfter;
  const bool denies = !unlisted && DeniesToLead(*primary, aNow);
  if (leads || answering < mTable.Majority() ||
      !(unlisted || stale || denies) || (!denies && IsReachedElsewhere(aNow))) {
    mVacantSince.reset();
    return false;
  }
  if (!mVacantSince) {
    mVacantSince = aNow;
  }
  // The previous lock holder left the group in this state. It would have
  // recorded the replaced term before a request to promote, so without that
  // record no server can become primary.
  const bool mayBeOrdered = mReplaced >= mTable.HighestLogTerm();
  const bool isSure = aNow < mLockHeldSince + kInheritance && !mayBeOrdered &&
                      (denies || answering == mTable.All().size());
  return aNow - *mVacantSince > (isSure ? kSurelyVacantAfter : kVacantAfter);
}

// The term of a server that is primary but cannot be confirmed, because an
// earlier lock holder fenced its group and went no further; zero if there is
// none. That holder can no longer record the term as replaced, since it has
// lost the lock, and must not request a promotion without that record.
position::term_id
group_monitor::UnreplacedTerm(clock::time_point aNow) const
{
  if (aNow < mLockHeldSince + kFirstLook) {
    return 0;
  }
  position::term_id led = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool leads = IsFresh(view, aNow) && view.report->isPrimary;
    led = std::max(led, leads ? view.report->term : 0);
  }
  return led > mReplaced && led >= mTable.HighestLogTerm() ? led : 0;
}

// Repairs members after a takeover: old primaries are told to step down, and
// fences of a term that has been settled are lifted.
void
group_monitor::Repair(clock::time_point aNow)
{
  const bool isProved = aNow < mProof.askedAt + mSettings.validity;
  const auto settled = isProved ? mProof.term : UnreplacedTerm(aNow);
  if (IsTakeoverActive() || settled == 0) {
    return;
  }
  // Without a confirmation, the members are polled at short intervals anyway.
  const auto pause = isProved ? kRetryPause : kBusyPause;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mProof.primary || !view.report || view.pendingSince ||
        aNow < view.lastQueriedAt + pause) {
      continue;
    }
    proxy::command order;
    if (isProved && view.report->isPrimary && view.report->term < settled) {
      order.kind = proxy::command_kind::kDemote;
      order.term = settled;
    } else if (view.report->fencedAt >= settled) {
      order.kind = proxy::command_kind::kUnfence;
    } else {
      continue;
    }
    auto& asked = *mTable.Find(id);
    asked.pendingSince = aNow;
    asked.lastQueriedAt = aNow;
    mActions.emplace_back(log_step{ "repair", id });
    mActions.emplace_back(send_command{ id, order });
  }
}

void
group_monitor::CheckObedience()
{
  const auto revoked = mTakeover.RevokedTerm();
  if (revoked == 0 || !mMustObey) {
    return;
  }
  const bool all =
    std::all_of(mMustObey->begin(), mMustObey->end(), [&](const auto& aVm) {
      const auto found = mReach.find(aVm);
      return found != mReach.end() &&
             found->second.news.acknowledgedTerm >= revoked &&
             found->second.news.sentAt >= mTakeover.StartedAt();
    });
  if (all) {
    mTakeover.AllAcknowledged();
  }
}

} // namespace currantshed::lead
