#include "currantshed/lead/takeover.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

namespace {

using std::chrono::milliseconds;

// Interval between rounds of fences or queries, and between promotion requests.
constexpr milliseconds kRound{ 100 };
constexpr milliseconds kPromoteRound{ 400 };
// How long after a promotion request its effect may come: nearly twice the
// measured maximum of 1.1 s. A request that was accepted is not repeated
// earlier, because repeated requests take effect one after the other.
constexpr milliseconds kOrderEffect{ 2000 };
// Interval between log lines on what a takeover is waiting for.
constexpr milliseconds kNotePause{ 1000 };
// How long a planned takeover waits for the old primary to step down by itself:
// twice the time after which a server that does not answer counts as failed.
constexpr milliseconds kStepDownTime{ 1000 };
// How long a planned takeover waits for a replica to receive the whole log of
// the old primary.
constexpr milliseconds kCatchUpTime{ 500 };

} // namespace

takeover::takeover(server_table& aTable, milliseconds aValidity)
  : mTable(aTable)
  , mValidity(aValidity)
{
}

void
takeover::Start(takeover_reason aReason,
                upstream::server_id aOld,
                position::term_id aOldTerm,
                clock::time_point aNow,
                std::vector<action>& aOut)
{
  mStep = takeover_step::kFence;
  mReason = aReason;
  mOld = std::move(aOld);
  mOldTerm = aOldTerm;
  mFenceTerm = std::max(mTable.HighestTerm(), mOldTerm) + 1;
  mBegunAt = aNow;
  mNextSend = aNow;
  mNextNote = aNow + kNotePause;
  mNextOrder = clock::time_point::max();
  mAllObeyed = false;
  mFences = mReason != takeover_reason::kDraining;
  mChosen.clear();
  mOrders = 0;
  mRejected.clear();
  aOut.emplace_back(publish_revocation{ mOldTerm });
  aOut.emplace_back(log_step{
    "begun",
    absl::StrCat(
      std::string(NameOf(aReason)), " old=", mOld, " term=", mOldTerm) });
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

void
takeover::PromotionAnswered(bool aTaken, bool aRejected, clock::time_point aNow)
{
  if (mStep != takeover_step::kPromote) {
    return;
  }
  if (aRejected) {
    mRejected.insert(mChosen);
    if (mRejected.size() + 1 >= mTable.All().size()) {
      mRejected.clear();
    }
    mStep = takeover_step::kFence;
    mNextSend = aNow + kRound;
    mNextOrder = clock::time_point::max();
  } else if (aTaken) {
    mNextOrder = mLastOrderAt + kOrderEffect;
  } else {
    mNextOrder = std::min(mNextOrder, aNow + kRound);
  }
}

void
takeover::Tick(clock::time_point aNow, std::vector<action>& aOut)
{
  if (mStep == takeover_step::kNone) {
    return;
  }
  if (mStep != takeover_step::kPromote) {
    ReadFences(aNow, aOut);
  }
  NoteWait(aNow, aOut);
  if (mStep == takeover_step::kAwaitExpiry &&
      (mAllObeyed || aNow >= mWaitUntil) && !Choose(aNow).empty()) {
    mStep = takeover_step::kPromote;
    mNextOrder = aNow;
  }
  if (mStep == takeover_step::kPromote) {
    OrderAnew(aNow);
  }
  if (mStep == takeover_step::kPromote && aNow >= mNextOrder) {
    Promote(aNow, aOut);
  }
  if (aNow < mNextSend) {
    return;
  }
  if (mStep == takeover_step::kPromote) {
    DemoteOld(aNow, aOut);
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
  return std::min(
    mNextSend, mStep == takeover_step::kAwaitExpiry ? mWaitUntil : mNextOrder);
}

void
takeover::Succeeded(const upstream::server_id& aPrimary,
                    clock::time_point aNow,
                    std::vector<action>& aOut)
{
  const auto took = std::chrono::duration_cast<milliseconds>(aNow - mBegunAt);
  mStep = takeover_step::kNone;
  const bool allCameTrue = mOrders == 1 && aPrimary == mChosen;
  if (mOrders > 0 && !allCameTrue) {
    mQuietUntil = mLastOrderAt + kOrderEffect;
  }
  aOut.emplace_back(publish_revocation{ 0 });
  aOut.emplace_back(log_step{
    "done", absl::StrCat("primary=", aPrimary, " took_ms=", took.count()) });
}

// Logs at intervals what a takeover is waiting for. As long as it does not
// finish, the group has no primary.
void
takeover::NoteWait(clock::time_point aNow, std::vector<action>& aOut)
{
  if (aNow < mNextNote) {
    return;
  }
  mNextNote = aNow + kNotePause;
  std::size_t fenced = 0;
  for (const auto& [id, view] : mTable.All()) {
    fenced += IsFenced(view) ? 1 : 0;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(aNow - mBegunAt);
  aOut.emplace_back(log_step{ "waits",
                              absl::StrCat("at=",
                                           std::string(NameOf(mStep)),
                                           " since_ms=",
                                           took.count(),
                                           " old_listed=",
                                           mTable.Find(mOld) != nullptr,
                                           " members=",
                                           mTable.All().size(),
                                           " fenced=",
                                           fenced,
                                           " silent=",
                                           mTable.UnresponsiveCount()) });
}

bool
takeover::IsSupersededBy(const upstream::server_id& aPrimary,
                         clock::time_point aNow) const
{
  return mStep == takeover_step::kPromote && mOrders > 0 &&
         aPrimary != mChosen && aNow < mLastOrderAt + kOrderEffect;
}

// A promotion request of an earlier takeover, or of another lock holder, took
// effect late. The server that became primary is about to be replaced, so no VM
// may use it.
void
takeover::Superseded(const proxy::confirmation& aProof,
                     std::vector<action>& aOut)
{
  mOld = aProof.primary;
  mOldTerm = aProof.term;
  aOut.emplace_back(publish_revocation{ mOldTerm });
  aOut.emplace_back(
    log_step{ "overtaken", absl::StrCat("by=", mOld, " term=", mOldTerm) });
}

// Whether the chosen server is gone or has restarted since it was chosen. A
// restarted server is empty, and must not be promoted over one that holds
// acknowledged commits.
bool
takeover::IsChoiceVoid() const
{
  const auto* chosen = mTable.Find(mChosen);
  return !mChosen.empty() &&
         (chosen == nullptr || chosen->listed.startedAt != mChosenStart);
}

// A chosen server that stops answering may have failed before the request took
// effect; the platform's response to another request tells.
void
takeover::OrderAnew(clock::time_point aNow)
{
  const auto* chosen = mTable.Find(mChosen);
  const bool isSilent =
    chosen != nullptr && chosen->failures >= internal::kFailuresToLose;
  if ((isSilent || IsChoiceVoid()) && mOrders > 0) {
    mNextOrder =
      std::min(mNextOrder, std::max(aNow, mLastOrderAt + kPromoteRound));
  }
}

// Tells the old primary to step down, and the replicas to stop following it. In
// a planned takeover the replicas are not fenced, so that they receive the last
// commits, as long as the old primary can be expected to step down.
void
takeover::Fence(clock::time_point aNow, std::vector<action>& aOut)
{
  mNextSend = aNow + kRound;
  mFences = mFences || NeedsFences(aNow);
  for (const auto& [id, view] : mTable.All()) {
    const bool isOld = id == mOld || (view.report && view.report->isPrimary);
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
    } else if (!mFences || IsFenced(view)) {
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
takeover::NeedsFences(clock::time_point aNow) const
{
  const auto* old = mTable.Find(mOld);
  return !DoesNotLead(old) &&
         (old == nullptr || old->failures >= internal::kFailuresToLose ||
          aNow >= mBegunAt + kStepDownTime);
}

// Whether the server is listed and has reported since the takeover started that
// it is not primary.
bool
takeover::DoesNotLead(const member_view* aView) const
{
  return aView != nullptr && aView->report && aView->askedAt >= mBegunAt &&
         !aView->report->isPrimary;
}

bool
takeover::IsFenced(const member_view& aView) const
{
  return DoesNotLead(&aView) && aView.report->fencedAt >= mFenceTerm;
}

// Once a majority is fenced, or the old primary has stepped down by itself, no
// further confirmation of its term is possible.
void
takeover::ReadFences(clock::time_point aNow, std::vector<action>& aOut)
{
  std::size_t fenced = 0;
  for (const auto& [id, view] : mTable.All()) {
    fenced += IsFenced(view) ? 1 : 0;
  }
  const bool barred = DoesNotLead(mTable.Find(mOld)) ||
                      fenced >= mTable.Majority() || (mAllObeyed && fenced > 0);
  if (!barred) {
    mStep = takeover_step::kFence;
  } else if (mStep == takeover_step::kFence) {
    mStep = takeover_step::kAwaitExpiry;
    mWaitUntil = aNow + mValidity;
    mBarredAt = aNow;
    aOut.emplace_back(list_vms{});
  }
}

// Whether the server has reported its log position since the takeover started
// and may be promoted.
bool
takeover::IsUsable(const member_view& aView) const
{
  return DoesNotLead(&aView) && !mRejected.contains(aView.listed.id);
}

// Whether the server has restarted and holds less than the old primary, which
// may remain primary.
bool
takeover::IsEmptied(const member_view& aView) const
{
  const auto* old = mTable.Find(mOld);
  return old != nullptr && IsUsable(*old) &&
         aView.restartSeenAt != clock::time_point{} &&
         aView.report->received < old->report->received;
}

// Chooses the server with the longest log among those that reported since the
// takeover started. Draining servers are left out, and so is the old primary
// unless no server was primary. None is chosen while a planned takeover may
// still bring the whole log of the old primary to one of them. If all others
// have restarted and hold less, the old primary is promoted again until they
// have caught up, since no other server holds all acknowledged commits.
upstream::server_id
takeover::Choose(clock::time_point aNow) const
{
  const member_view* best = nullptr;
  position::log_position goal;
  bool isAnyEmptied = false;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mOld && view.report) {
      goal = view.report->received;
    }
    const bool leaves = view.listed.draining ||
                        (id == mOld && mReason != takeover_reason::kNoPrimary);
    if (!IsUsable(view) || leaves) {
      continue;
    }
    if (IsEmptied(view)) {
      isAnyEmptied = true;
      continue;
    }
    if (best == nullptr || view.report->received > best->report->received) {
      best = &view;
    }
  }
  if (best == nullptr) {
    return isAnyEmptied ? mOld : upstream::server_id{};
  }
  const bool mayCatchUp = !mFences && aNow < mBegunAt + kCatchUpTime;
  if (mayCatchUp && best->report->received < goal) {
    return {};
  }
  return best->listed.id;
}

// The old primary may come back while the platform promotes, without knowing of
// the takeover.
void
takeover::DemoteOld(clock::time_point aNow, std::vector<action>& aOut)
{
  mNextSend = aNow + kRound;
  const auto* old = mTable.Find(mOld);
  const bool isDone = old == nullptr || mChosen == mOld || DoesNotLead(old);
  if (!isDone && !old->pendingSince) {
    Send(mOld, proxy::command_kind::kDemote, aNow, aOut);
  }
}

// A server is primary, but fences of a higher term than its own remain, from
// this takeover or an earlier one. Until they are lifted no majority follows
// it, and the takeover cannot finish.
void
takeover::LiftFences(clock::time_point aNow, std::vector<action>& aOut)
{
  position::term_id led = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool leads =
      view.report && view.report->isPrimary && view.askedAt >= mLastOrderAt;
    led = std::max(led, leads ? view.report->term : 0);
  }
  if (mOrders == 0 || led <= mOldTerm) {
    return;
  }
  for (const auto& [id, view] : mTable.All()) {
    if (view.report && view.report->fencedAt > led && !view.pendingSince) {
      Send(id, proxy::command_kind::kUnfence, aNow, aOut);
    }
  }
}

void
takeover::Promote(clock::time_point aNow, std::vector<action>& aOut)
{
  const auto chosen = Choose(aNow);
  if (chosen.empty() && (mChosen.empty() || IsChoiceVoid())) {
    mStep = takeover_step::kFence;
    mNextOrder = clock::time_point::max();
    return;
  }
  // The platform may have accepted a request although no response arrived.
  // Further requests name the same server until it is known that it cannot be
  // promoted.
  if (mChosen.empty() || mRejected.contains(mChosen) || IsChoiceVoid()) {
    mChosen = chosen;
    const auto* view = mTable.Find(mChosen);
    mChosenStart =
      view == nullptr ? proxy::start_time{} : view->listed.startedAt;
  }
  ++mOrders;
  mLastOrderAt = aNow;
  mNextOrder = aNow + kPromoteRound;
  aOut.emplace_back(log_step{ "promote", mChosen });
  aOut.emplace_back(request_promotion{ mChosen, mOldTerm });
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
  }
  return "unknown";
}

} // namespace currantshed::lead
