#include "currantshed/lead/takeover.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

namespace {

using std::chrono::milliseconds;

// Interval between rounds of fences or queries, and minimum interval between
// promotion requests.
constexpr milliseconds kRoundInterval{ 100 };
constexpr milliseconds kPromoteInterval{ 400 };
// A request that has not been answered after this time counts as unanswered for
// good: three calls of the platform that each time out, and a connection.
constexpr milliseconds kMaxAnswerTime{ 4000 };
// How long after a promotion request its effect may come: nearly twice the
// measured maximum of 1.1 s. A request that was accepted is not repeated
// earlier, because repeated requests take effect one after the other.
constexpr milliseconds kMaxPromotionDelay{ 2000 };
// Interval between log lines on what a takeover is waiting for.
constexpr milliseconds kLogInterval{ 1000 };
// How long a planned takeover waits for the old primary to step down by itself:
// twice the time after which a server that does not answer counts as failed.
constexpr milliseconds kStepDownTimeout{ 1000 };
// How long a planned takeover waits for a replica to receive the whole log of
// the old primary.
constexpr milliseconds kCatchUpTimeout{ 500 };
// How long a takeover that does not know where the replaced term ended waits
// for a server that follows a later term.
constexpr milliseconds kLaterTermTimeout{ 2000 };

lineage
LineageIn(const term_history& aHistory, const member_view& aView)
{
  return LineageOf(aHistory, aView.report->received, aView.report->term);
}

} // namespace

takeover::takeover(server_table& aTable,
                   const term_history& aHistory,
                   milliseconds aValidity)
  : mTable(aTable)
  , mKnown(aHistory)
  , mValidity(aValidity)
{
}

void
takeover::Start(takeover_reason aReason,
                upstream::server_id aOldPrimary,
                position::term_id aOldTerm,
                clock::time_point aNow,
                std::vector<action>& aOut)
{
  mStep = takeover_step::kFence;
  mReason = aReason;
  mOldPrimary = std::move(aOldPrimary);
  mOldTerm = aOldTerm;
  mFenceTerm = std::max(mTable.HighestTerm(), mOldTerm) + 1;
  mStartedAt = aNow;
  mNextSend = aNow;
  mNextLog = aNow + kLogInterval;
  mNextRequest = clock::time_point::max();
  mAllAcknowledged = false;
  // A primary that still answers is told to step down instead.
  mFencesReplicas = mReason != takeover_reason::kDraining &&
                    mReason != takeover_reason::kUnstable;
  mChosen.clear();
  mRequests = 0;
  mRepeatsInherited = false;
  mAwaitsAnswer = false;
  mRejected.clear();
  mHistory = mKnown;
  mHistoryBeforeChoice = mHistory;
  mMayBeCarriedOut = false;
  aOut.emplace_back(publish_revocation{ mOldTerm });
  aOut.emplace_back(log_step{ "begun",
                              absl::StrCat(std::string(NameOf(aReason)),
                                           " old=",
                                           mOldPrimary,
                                           " term=",
                                           mOldTerm) });
  Tick(aNow, aOut);
}

void
takeover::Abandon(std::vector<action>& aOut)
{
  if (mStep == takeover_step::kNone) {
    return;
  }
  mStep = takeover_step::kNone;
  aOut.emplace_back(publish_revocation{ 0 });
  aOut.emplace_back(log_step{ "abandoned", "" });
}

position::term_id
takeover::RevokedTerm() const noexcept
{
  return mStep == takeover_step::kNone ? 0 : mOldTerm;
}

// Another request is made only once the previous one has been answered or has
// timed out.
void
takeover::PromotionAnswered(const upstream::server_id& aServer,
                            promotion_outcome aOutcome,
                            clock::time_point aNow)
{
  if (!IsPromoting(aServer)) {
    return;
  }
  mAwaitsAnswer = false;
  mMayBeCarriedOut = mMayBeCarriedOut ||
                     aOutcome == promotion_outcome::kAccepted ||
                     aOutcome == promotion_outcome::kUnknown;
  switch (aOutcome) {
    case promotion_outcome::kRejected:
      if (!mMayBeCarriedOut) {
        mHistory = mHistoryBeforeChoice;
      }
      mRejected.insert(mChosen);
      if (mRejected.size() + 1 >= mTable.All().size()) {
        mRejected.clear();
      }
      mStep = takeover_step::kFence;
      mNextSend = aNow + kRoundInterval;
      mNextRequest = clock::time_point::max();
      break;
    case promotion_outcome::kAccepted:
      mNextRequest = mLastRequestAt + kMaxPromotionDelay;
      break;
    case promotion_outcome::kRetryLater:
    case promotion_outcome::kUnknown:
      mNextRequest = aNow + kRoundInterval;
      break;
  }
}

void
takeover::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  mTickedAt = aNow;
  if (mStep == takeover_step::kNone) {
    return;
  }
  if (mStep != takeover_step::kPromote) {
    CheckFences(aNow, aOut);
  }
  LogProgress(aNow, aOut);
  if (mStep == takeover_step::kAwaitExpiry &&
      (mAllAcknowledged || aNow >= mWaitUntil) &&
      !ChooseCandidate(aNow).empty()) {
    mStep = takeover_step::kPromote;
    mNextRequest = aNow;
  }
  if (mStep == takeover_step::kPromote) {
    ScheduleRetry(aNow);
  }
  if (mStep == takeover_step::kPromote && aNow >= mNextRequest) {
    Promote(aNow, aOut);
  }
  if (aNow < mNextSend) {
    return;
  }
  if (mStep == takeover_step::kPromote) {
    DemoteOldPrimary(aNow, aOut);
    LiftFences(aNow, aOut);
  } else {
    Fence(aNow, aOut);
  }
}

clock::time_point
takeover::NextTick() const noexcept
{
  if (mStep == takeover_step::kNone) {
    return clock::time_point::max();
  }
  if (mStep != takeover_step::kAwaitExpiry) {
    return std::min(mNextSend, mNextRequest);
  }
  // Once the confirmations have expired, only a server that may be promoted is
  // missing, and each round of queries may find one.
  return mTickedAt < mWaitUntil ? std::min(mNextSend, mWaitUntil) : mNextSend;
}

void
takeover::Succeeded(const upstream::server_id& aPrimary,
                    clock::time_point aNow,
                    std::vector<action>& aOut)
{
  const auto took = std::chrono::duration_cast<milliseconds>(aNow - mStartedAt);
  mStep = takeover_step::kNone;
  const bool isAsRequested =
    mRequests == 1 && !mRepeatsInherited && aPrimary == mChosen;
  if (mRequests > 0 && !isAsRequested) {
    mHoldOffUntil = mLastRequestAt + kMaxPromotionDelay;
  }
  aOut.emplace_back(publish_revocation{ 0 });
  aOut.emplace_back(log_step{
    "done", absl::StrCat("primary=", aPrimary, " took_ms=", took.count()) });
}

// Logs at intervals what a takeover is waiting for. As long as it does not
// finish, the group has no primary.
void
takeover::LogProgress(clock::time_point aNow, std::vector<action>& aOut)
{
  if (aNow < mNextLog) {
    return;
  }
  mNextLog = aNow + kLogInterval;
  std::size_t fenced = 0;
  std::size_t diverged = 0;
  for (const auto& [id, view] : mTable.All()) {
    fenced += IsFenced(view) ? 1 : 0;
    diverged +=
      IsCandidate(view) && LineageIn(mHistory, view) == lineage::kDiverged ? 1
                                                                           : 0;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(aNow - mStartedAt);
  aOut.emplace_back(log_step{ "waits",
                              absl::StrCat("at=",
                                           std::string(NameOf(mStep)),
                                           " since_ms=",
                                           took.count(),
                                           " old_listed=",
                                           mTable.Find(mOldPrimary) != nullptr,
                                           " members=",
                                           mTable.All().size(),
                                           " fenced=",
                                           fenced,
                                           " silent=",
                                           mTable.UnresponsiveCount(),
                                           " diverged=",
                                           diverged,
                                           " order_pending=",
                                           IsInheritedOrderPending(aNow),
                                           " ",
                                           ToText(mHistory)) });
}

bool
takeover::IsSupersededBy(const upstream::server_id& aPrimary,
                         clock::time_point aNow) const
{
  return mStep == takeover_step::kPromote && mRequests > 0 &&
         aPrimary != mChosen && aNow < mLastRequestAt + kMaxPromotionDelay;
}

// A promotion request of an earlier takeover, or of another lock holder, took
// effect late. The server that became primary is about to be replaced, so no VM
// may use it.
void
takeover::Superseded(const proxy::confirmation& aConfirmation,
                     std::vector<action>& aOut)
{
  mOldPrimary = aConfirmation.primary;
  mOldTerm = aConfirmation.term;
  mHistory.replaced = std::max(mHistory.replaced, mOldTerm);
  aOut.emplace_back(publish_revocation{ mOldTerm });
  aOut.emplace_back(log_step{
    "overtaken", absl::StrCat("by=", mOldPrimary, " term=", mOldTerm) });
}

// Whether the chosen server is gone or has restarted since it was chosen. A
// restarted server is empty, and must not be promoted over one that holds
// acknowledged commits.
bool
takeover::IsChoiceInvalid() const
{
  const auto* chosen = mTable.Find(mChosen);
  return !mChosen.empty() &&
         (chosen == nullptr || chosen->listed.startedAt != mChosenStartedAt);
}

// A chosen server that stops answering may have failed before the request took
// effect; the platform's response to another request tells.
void
takeover::ScheduleRetry(clock::time_point aNow)
{
  const auto* chosen = mTable.Find(mChosen);
  const bool isSilent =
    chosen != nullptr && chosen->failures >= internal::kFailuresUntilLost;
  if ((isSilent || IsChoiceInvalid()) && mRequests > 0 && !mAwaitsAnswer) {
    mNextRequest =
      std::min(mNextRequest, std::max(aNow, mLastRequestAt + kPromoteInterval));
  }
}

// Tells the old primary to step down, and the replicas to stop following it. In
// a planned takeover the replicas are not fenced, so that they receive the last
// commits, as long as the old primary can be expected to step down.
void
takeover::Fence(clock::time_point aNow, std::vector<action>& aOut)
{
  mNextSend = aNow + kRoundInterval;
  mFencesReplicas = mFencesReplicas || NeedsReplicaFences(aNow);
  for (const auto& [id, view] : mTable.All()) {
    const bool isOld =
      id == mOldPrimary || (view.report && view.report->isPrimary);
    if (view.pendingSince) {
      continue;
    }
    if (isOld) {
      const bool steppedDown = view.report && !view.report->isPrimary;
      Send(id,
           steppedDown ? proxy::command_kind::kReport
                       : proxy::command_kind::kDemote,
           aNow,
           aOut);
    } else if (!mFencesReplicas || IsFenced(view)) {
      Send(id, proxy::command_kind::kReport, aNow, aOut);
    } else {
      Send(id, proxy::command_kind::kFence, aNow, aOut);
    }
  }
}

// Whether a planned takeover continues without the old primary. Only this VM
// tells it to step down, and it may be unreachable from here. A takeover that
// waited for it would never finish, and a draining server would remain in use.
bool
takeover::NeedsReplicaFences(clock::time_point aNow) const
{
  const auto* old = mTable.Find(mOldPrimary);
  return !HasReportedNotPrimary(old) &&
         (old == nullptr || old->failures >= internal::kFailuresUntilLost ||
          aNow >= mStartedAt + kStepDownTimeout);
}

// Whether the server is listed and has reported since the takeover started that
// it is not primary.
bool
takeover::HasReportedNotPrimary(const member_view* aView) const
{
  return aView != nullptr && aView->report && aView->askedAt >= mStartedAt &&
         !aView->report->isPrimary;
}

bool
takeover::IsFenced(const member_view& aView) const
{
  return HasReportedNotPrimary(&aView) && aView.report->fencedAt >= mFenceTerm;
}

// Once a majority is fenced, or the old primary has stepped down by itself, no
// further confirmation of its term is possible.
void
takeover::CheckFences(clock::time_point aNow, std::vector<action>& aOut)
{
  std::size_t fenced = 0;
  for (const auto& [id, view] : mTable.All()) {
    fenced += IsFenced(view) ? 1 : 0;
  }
  const bool isBlocked = HasReportedNotPrimary(mTable.Find(mOldPrimary)) ||
                         fenced >= mTable.Majority() ||
                         (mAllAcknowledged && fenced > 0);
  if (!isBlocked) {
    mStep = takeover_step::kFence;
  } else if (mStep == takeover_step::kFence) {
    mStep = takeover_step::kAwaitExpiry;
    mWaitUntil = aNow + mValidity;
    mBlockedAt = aNow;
    aOut.emplace_back(list_vms{});
  }
}

// Whether the server has reported its log position since the takeover started
// and may be promoted.
bool
takeover::IsCandidate(const member_view& aView) const
{
  return HasReportedNotPrimary(&aView) && !mRejected.contains(aView.listed.id);
}

// Whether the server may be promoted, but for its lineage: the old primary may
// not, unless no server was primary.
bool
takeover::IsEligible(const member_view& aView) const
{
  return IsCandidate(aView) && !aView.listed.draining &&
         (aView.listed.id != mOldPrimary ||
          mReason == takeover_reason::kNoPrimary);
}

// Whether the server has restarted and holds less than the old primary, which
// may remain primary.
bool
takeover::HasLostData(const member_view& aView) const
{
  const auto* old = mTable.Find(mOldPrimary);
  return old != nullptr && IsCandidate(*old) &&
         LineageIn(mKnown, *old) != lineage::kDiverged &&
         aView.restartSeenAt != clock::time_point{} &&
         aView.report->received < old->report->received;
}

// Whether the order that the previous lock holder recorded for the same term
// may still take effect. Its answer is not known to this VM.
bool
takeover::IsInheritedOrderPending(clock::time_point aNow) const
{
  return aNow < mInheritedUntil && mRequests == 0 && !mKnown.ordered.empty() &&
         mKnown.replaced == mOldTerm;
}

// The server of a pending order may be ordered again, which changes nothing if
// it is primary by then. An order for another server would replace it in turn.
upstream::server_id
takeover::InheritedChoice() const
{
  const auto* view = mTable.Find(mKnown.ordered);
  const bool mayLead = view != nullptr && IsEligible(*view) &&
                       LineageIn(mHistory, *view) == lineage::kIncluded;
  return mayLead ? mKnown.ordered : upstream::server_id{};
}

// Whether the server has yet to report, or to be found silent.
bool
takeover::IsReportExpected(const member_view& aView) const
{
  return !HasReportedNotPrimary(&aView) &&
         aView.failures < internal::kFailuresUntilLost;
}

// The choice if the end of the replaced term is not known and no server follows
// a later term. Of a majority, the shortest log is the least likely to reach
// beyond that end: the server that began the later term was ahead of a majority
// of the group.
upstream::server_id
takeover::ShortestOfUnknown(clock::time_point aNow) const
{
  const member_view* best = nullptr;
  std::size_t reported = 0;
  bool isComplete = true;
  for (const auto& [id, view] : mTable.All()) {
    reported += HasReportedNotPrimary(&view) ? 1 : 0;
    isComplete = isComplete && !IsReportExpected(view);
    const bool isUnknown = IsEligible(view) && !HasLostData(view) &&
                           LineageIn(mHistory, view) == lineage::kUnknown;
    if (isUnknown &&
        (best == nullptr || view.report->received < best->report->received)) {
      best = &view;
    }
  }
  const bool isSettled = reported >= mTable.Majority() &&
                         (isComplete || aNow >= mStartedAt + kLaterTermTimeout);
  return best != nullptr && isSettled ? best->listed.id : upstream::server_id{};
}

// None is chosen while a planned takeover may still bring the whole log of the
// old primary to the choice.
upstream::server_id
takeover::ChooseCandidate(clock::time_point aNow) const
{
  const auto chosen =
    IsInheritedOrderPending(aNow) ? InheritedChoice() : BestCandidate(aNow);
  const auto* view = mTable.Find(chosen);
  const auto* old = mTable.Find(mOldPrimary);
  const bool isBehind = view != nullptr && old != nullptr && old->report &&
                        view->report->received < old->report->received;
  const bool mayCatchUp =
    !mFencesReplicas && aNow < mStartedAt + kCatchUpTimeout;
  return isBehind && mayCatchUp ? upstream::server_id{} : chosen;
}

// The server with the longest log among those that reported since the takeover
// started and whose log is part of the group's history. Draining servers are
// left out, and so is the old primary unless no server was primary. If all
// others have restarted and hold less, the old primary is promoted again until
// they have caught up, since no other server holds all acknowledged commits.
upstream::server_id
takeover::BestCandidate(clock::time_point aNow) const
{
  const member_view* best = nullptr;
  bool anyLostData = false;
  for (const auto& [id, view] : mTable.All()) {
    if (!IsEligible(view) || LineageIn(mHistory, view) != lineage::kIncluded) {
      continue;
    }
    if (HasLostData(view)) {
      anyLostData = true;
      continue;
    }
    if (best == nullptr || view.report->received > best->report->received) {
      best = &view;
    }
  }
  if (best != nullptr) {
    return best->listed.id;
  }
  return anyLostData || IsOldPrimaryLeft() ? mOldPrimary
                                           : ShortestOfUnknown(aNow);
}

// Whether the old primary has stepped down and holds the history of the group,
// and no other server can be expected to.
bool
takeover::IsOldPrimaryLeft() const
{
  const auto* old = mTable.Find(mOldPrimary);
  if (old == nullptr || old->listed.draining || !IsCandidate(*old) ||
      LineageIn(mHistory, *old) != lineage::kIncluded) {
    return false;
  }
  const auto& all = mTable.All();
  return std::all_of(all.begin(), all.end(), [&](const auto& aOne) {
    const auto& view = aOne.second;
    const bool mayLead =
      IsCandidate(view) && LineageIn(mHistory, view) != lineage::kDiverged;
    return &view == old || view.listed.draining ||
           (!mayLead && !IsReportExpected(view));
  });
}

// Records with which log the chosen server would begin the next term. An
// earlier order for the same term may take effect instead, so that the lower
// end applies.
void
takeover::Choose(const upstream::server_id& aServer)
{
  mChosen = aServer;
  mMayBeCarriedOut = false;
  mHistoryBeforeChoice = mHistory;
  const auto* view = mTable.Find(mChosen);
  mChosenStartedAt =
    view == nullptr ? proxy::start_time{} : view->listed.startedAt;
  mHistory.replaced = std::max(mHistory.replaced, mOldTerm);
  mHistory.ordered = mChosen;
  const bool isOfOldTerm =
    view != nullptr && view->report && view->report->received.term <= mOldTerm;
  if (!isOfOldTerm || mOldTerm == 0) {
    return;
  }
  term_end end{ mOldTerm, view->report->received.index };
  for (const auto& one : mHistory.ends) {
    end.last = one.term == mOldTerm ? std::min(end.last, one.last) : end.last;
  }
  RecordEnd(mHistory, end);
}

term_history
takeover::TermsBefore(const upstream::server_id& aPrimary,
                      position::term_id aTerm) const
{
  auto terms = mHistory;
  const auto& ends = mHistory.ends;
  const bool isByOwnOrder = mMayBeCarriedOut && aPrimary == mChosen;
  if (isByOwnOrder && !ends.empty() && ends.back().term == mOldTerm &&
      mOldTerm + 1 < aTerm) {
    RecordEnd(terms, { aTerm - 1, ends.back().last });
  }
  return terms;
}

// The old primary may come back while the platform promotes, without knowing of
// the takeover.
void
takeover::DemoteOldPrimary(clock::time_point aNow, std::vector<action>& aOut)
{
  mNextSend = aNow + kRoundInterval;
  const auto* old = mTable.Find(mOldPrimary);
  const bool isDone =
    old == nullptr || mChosen == mOldPrimary || HasReportedNotPrimary(old);
  if (!isDone && !old->pendingSince) {
    Send(mOldPrimary, proxy::command_kind::kDemote, aNow, aOut);
  }
}

// A server is primary, but fences of a higher term than its own remain, from
// this takeover or an earlier one. Until they are lifted no majority follows
// it, and the takeover cannot finish.
void
takeover::LiftFences(clock::time_point aNow, std::vector<action>& aOut)
{
  position::term_id primaryTerm = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool leads =
      view.report && view.report->isPrimary && view.askedAt >= mLastRequestAt;
    primaryTerm = std::max(primaryTerm, leads ? view.report->term : 0);
  }
  if (mRequests == 0 || primaryTerm <= mOldTerm) {
    return;
  }
  for (const auto& [id, view] : mTable.All()) {
    if (view.report && view.report->fencedAt > primaryTerm &&
        !view.pendingSince) {
      Send(id, proxy::command_kind::kUnfence, aNow, aOut);
    }
  }
}

void
takeover::Promote(clock::time_point aNow, std::vector<action>& aOut)
{
  const auto chosen = ChooseCandidate(aNow);
  if (chosen.empty() && (mChosen.empty() || IsChoiceInvalid())) {
    mStep = takeover_step::kFence;
    mNextRequest = clock::time_point::max();
    return;
  }
  // The platform may have accepted a request although no response arrived.
  // Further requests name the same server until it is known that it cannot be
  // promoted.
  if (mChosen.empty() || mRejected.contains(mChosen) || IsChoiceInvalid()) {
    Choose(chosen);
  }
  mRepeatsInherited = mRepeatsInherited || IsInheritedOrderPending(aNow);
  ++mRequests;
  mLastRequestAt = aNow;
  mAwaitsAnswer = true;
  mNextRequest = aNow + kMaxAnswerTime;
  aOut.emplace_back(log_step{ "promote", mChosen });
  aOut.emplace_back(request_promotion{ mChosen, mHistory });
}

void
takeover::Send(const upstream::server_id& aServer,
               proxy::command_kind aKind,
               clock::time_point aNow,
               std::vector<action>& aOut)
{
  auto* view = mTable.Find(aServer);
  view->pendingSince = aNow;
  view->lastQueriedAt = aNow;
  proxy::command command;
  command.kind = aKind;
  command.term = mFenceTerm;
  aOut.emplace_back(send_command{ aServer, command });
}

std::string_view
NameOf(takeover_step aStep)
{
  switch (aStep) {
    case takeover_step::kNone:
      return "none";
    case takeover_step::kFence:
      return "fence";
    case takeover_step::kAwaitExpiry:
      return "wait_out";
    case takeover_step::kPromote:
      return "promote";
  }
  return "unknown";
}

std::string_view
NameOf(takeover_reason aReason)
{
  switch (aReason) {
    case takeover_reason::kLost:
      return "lost";
    case takeover_reason::kDraining:
      return "draining";
    case takeover_reason::kNoPrimary:
      return "vacant";
    case takeover_reason::kUnstable:
      return "unstable";
  }
  return "unknown";
}

} // namespace currantshed::lead
