#include "currantshed/lead/takeover.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

namespace {

using std::chrono::milliseconds;

// Pause between two rounds of fences, of questions, or of orders to promote.
constexpr milliseconds kRound{ 100 };
constexpr milliseconds kPromoteRound{ 400 };
// How long after an order its effect may come: nearly twice the 1.1 s that it
// took at the most. An order that was taken is not repeated before, since each
// takes effect, one after the other.
constexpr milliseconds kOrderEffect{ 2000 };
// Time between two lines on what a change waits for.
constexpr milliseconds kNotePause{ 1000 };
// How long a planned change waits for the old primary to step down by itself:
// twice the time after which a server that does not answer is given up.
constexpr milliseconds kStepDownTime{ 1000 };
// How long a planned change waits for a replica to have all that the old
// primary had.
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

// Tells at intervals what keeps a change from going on: a change that never
// ends leaves its group without a primary.
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

// An order of a change before, or of another holder, had its effect late. The
// server that leads by it is about to be deposed: nobody may rest on it.
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

// Whether the chosen server is gone, or has started again since: it would lead
// with nothing, over one that holds what was acknowledged.
bool
takeover::IsChoiceVoid() const
{
  const auto* chosen = mTable.Find(mChosen);
  return !mChosen.empty() &&
         (chosen == nullptr || chosen->listed.startedAt != mChosenStart);
}

// A chosen server that falls silent may have failed before the order took
// effect; the platform tells so when it is ordered again.
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

// The old primary is asked to step down, replicas to follow it no longer; a
// planned change leaves the replicas free to receive its last commits, as long
// as the old primary can be expected to step down.
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

// Whether a planned change goes on without the old primary. Only this VM tells
// it to step down, and may have no way there; a change that waited for it would
// never end, nor would the use of a server that leaves.
bool
takeover::NeedsFences(clock::time_point aNow) const
{
  const auto* old = mTable.Find(mOld);
  return !DoesNotLead(old) &&
         (old == nullptr || old->failures >= internal::kFailuresToLose ||
          aNow >= mBegunAt + kStepDownTime);
}

// Whether the server, if it is listed, has told since the change began that it
// does not lead.
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

// Once a majority won't follow the old primary, or it has stepped down itself,
// no new proof of its term can come about.
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

// Whether the server has told of its log since the change began, and may be
// promoted.
bool
takeover::IsUsable(const member_view& aView) const
{
  return DoesNotLead(&aView) && !mRejected.contains(aView.listed.id);
}

// Whether the server has started again and holds less than the old primary,
// which may lead on.
bool
takeover::IsEmptied(const member_view& aView) const
{
  const auto* old = mTable.Find(mOld);
  return old != nullptr && IsUsable(*old) &&
         aView.restartSeenAt != clock::time_point{} &&
         aView.report->received < old->report->received;
}

// The longest log among the servers that answered lately. A server that leaves
// comes last. While a planned change may still bring all that the old primary
// had to one of them, none is chosen. Where all others have started again and
// hold less, the old primary leads on until they have caught up: what was
// acknowledged is nowhere else.
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

// While the platform promotes, the old primary may come back, and does not know
// of it.
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

// A server leads by now, and fences of a higher term than its own are left, by
// this change or one before it: until they are lifted no majority follows it,
// and the change would never end.
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
  // An order may have been taken although no answer came: it stays with the
  // same server until that is known to be impossible.
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
