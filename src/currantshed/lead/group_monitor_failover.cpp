// What the holder of the duty does: judge the primary, and bring servers back.
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

// How lately another VM must have heard the primary to keep it.
constexpr milliseconds kReachLife{ 600 };
// How long nobody may lead before the group counts as vacant.
constexpr milliseconds kVacantAfter{ 1200 };
// The same where the holder before left the group so, and no server can be
// about to lead: two rounds of questions. And for how long what a new holder
// sees counts as left by the one before.
constexpr milliseconds kSurelyVacantAfter{ 200 };
constexpr milliseconds kInheritance{ 1500 };
// A new holder of the duty looks on for this long first, so that an order of
// the holder before it has had its effect.
constexpr milliseconds kFirstLook{ 400 };

// Time between two lines on a group without a primary.
constexpr milliseconds kUnprovedPause{ 1000 };

std::int64_t
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

// Whether the member has reported lately enough to tell who leads now.
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
  // Without a proof of its own this VM goes by the others' word: they use the
  // primary all the while.
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

// Nobody reaches the primary: neither this VM nor any that told lately. A VM
// that hears none of the other members either says nothing of the primary, and
// could not replace it.
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

// What this VM's own lateness adds to another one's silence: an answer or a
// word may have lain unread for as long as the question before it.
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

// Whether another VM has heard the primary lately.
bool
group_monitor::IsReachedElsewhere(clock::time_point aNow) const
{
  return !ReachedBy(aNow).empty();
}

// Tells once a second that the group has no primary that anyone could use,
// since when, and what that may wait for.
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

// What the judgement that a primary is lost rests on.
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

// A VM that has heard the primary lately, or an empty name.
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

// Tells once for each silence which VM's word keeps the primary.
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

// Whether the server has said lately, and since it was proved last, that it
// does not lead.
bool
group_monitor::DeniesToLead(const member_view& aView,
                            clock::time_point aNow) const
{
  return IsFresh(aView, aNow) && !aView.report->isPrimary &&
         aView.askedAt > mProof.askedAt;
}

// A majority answers, and none of the servers leads; or the one that led is
// gone from the list. That others hear the one that led counts only as long as
// it does not say itself that it leads no longer: it may have stepped down on
// the order of a holder that gave up, and answers reads as ever.
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
  // What the holder before left. Without an order to promote, which it would
  // have recorded first, no server can come to lead.
  const bool mayBeOrdered = mReplaced >= mTable.HighestLogTerm();
  const bool isSure = aNow < mLockHeldSince + kInheritance && !mayBeOrdered &&
                      (denies || answering == mTable.All().size());
  return aNow - *mVacantSince > (isSure ? kSurelyVacantAfter : kVacantAfter);
}

// The term of a primary that leads but can't be proved, since a holder of the
// duty before this one fenced its group and went no further; zero if there is
// none. Taking the duty over kept that holder from recording the term as
// replaced later, and unrecorded it may not have the platform promote.
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

// Brings servers back that a change of the primary left behind: old primaries
// step down, fences of a settled term are lifted.
void
group_monitor::Repair(clock::time_point aNow)
{
  const bool isProved = aNow < mProof.askedAt + mSettings.validity;
  const auto settled = isProved ? mProof.term : UnreplacedTerm(aNow);
  if (IsTakeoverActive() || settled == 0) {
    return;
  }
  // Without a proof, members are asked at short intervals all the while.
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
