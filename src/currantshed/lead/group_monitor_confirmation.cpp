// What one VM may believe about who leads: its own reports, and their checks.
#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kBusyPause;
using internal::kDemandLife;
using internal::kFailuresToLose;
using internal::kRetryPause;

namespace {

using std::chrono::milliseconds;

// Every member is asked this often by the VM that watches, so that strayed
// fences and old primaries are seen.
constexpr milliseconds kRoundPause{ 2000 };
// A VM without the duty asks by itself once the proofs that it is told leave
// it less than this.
constexpr milliseconds kOwnAskReserve{ 350 };
// How far apart the VMs without the duty ask, and over how long at most: the
// first answer comes back and is passed on in some 30 ms, so that a dozen of 75
// ask, not all. What is left before the proof ends suffices for a retry.
constexpr milliseconds kSpreadByVm{ 2 };
constexpr milliseconds kLongestSpread{ 150 };
// How long a VM of the same failure domain is given to tell what it knows.
constexpr milliseconds kForwardingTime{ 30 };
// Pause of one VM between questions, for each VM that may ask: all together put
// at most 250 questions a second to a server, each a slot for half a
// millisecond.
constexpr milliseconds kPauseByVm{ 4 };
// How long the primary and one witness are given before all members are asked.
constexpr milliseconds kFirstPairTime{ 150 };
// A proof that is no newer than this spares the others no question.
constexpr milliseconds kWorthTelling{ 150 };
// How long a primary that only others reach is asked through them.
constexpr milliseconds kRelayedTime{ 3000 };
// Pause after a check of the terms that found the proof void, or that the store
// did not answer: then it rarely does soon, and each question has its price.
constexpr milliseconds kCheckPause{ 200 };
constexpr milliseconds kFailedCheckPause{ 1000 };
// Reports asked for within this time of each other are one round. It is shorter
// than the least time from a fence to the effect of a promotion.
constexpr milliseconds kSameRound{ 300 };

} // namespace

void
group_monitor::ReplacedTermRead(std::optional<position::term_id> aReplaced,
                                clock::time_point aNow)
{
  const auto checked = std::exchange(mUnchecked, std::nullopt);
  mNextCheck = aNow + (aReplaced ? kCheckPause : kFailedCheckPause);
  if (!aReplaced || !checked) {
    return;
  }
  mReplaced = std::max(mReplaced, *aReplaced);
  if (checked->term > EndedTerm()) {
    TakeProof(*checked, true, aNow);
    TakeSample(aNow);
  }
  Evaluate(aNow);
}

void
group_monitor::TakeProof(const proxy::confirmation& aProof,
                         bool aIsOwn,
                         clock::time_point aNow)
{
  if (aProof.term <= mReplaced || !IsNewer(aProof) || IsOfOldLife(aProof)) {
    return;
  }
  if (aProof.term > mProof.term) {
    mSample.reset();
    mActions.emplace_back(log_step{
      "primary",
      absl::StrCat("server=", aProof.primary, " term=", aProof.term) });
  }
  const bool isNews = aProof.askedAt >= mProof.askedAt + kWorthTelling;
  mProof = aProof;
  if (aNow < aProof.askedAt + mSettings.validity) {
    mActions.emplace_back(publish_confirmation{ mProof, aIsOwn && isNews });
  }
}

// What the primary said of its position, once it is proved that it led. The
// first reports of a term bring the proof, so that their position counts too:
// without it no replica could be used until the primary has answered again.
void
group_monitor::TakeSample(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mProof.primary);
  const bool isSample = primary != nullptr && primary->report &&
                        primary->report->isPrimary &&
                        primary->report->term == mProof.term &&
                        primary->askedAt < mProof.askedAt + mSettings.validity;
  if (!isSample || aNow >= mProof.askedAt + mSettings.validity ||
      (mSample && mSample->askedAt >= primary->askedAt)) {
    return;
  }
  mSample = { mProof.term, primary->report->received, primary->askedAt };
  mActions.emplace_back(publish_sample{ *mSample });
}

void
group_monitor::TakeOwnProof(clock::time_point aNow)
{
  const auto confirmation = mTable.Confirmation();
  if (!confirmation || !IsNewer(*confirmation)) {
    return;
  }
  if (confirmation->term <= EndedTerm()) {
    return;
  }
  if (!IsTrusted(*confirmation)) {
    CheckTerms(*confirmation, aNow);
    return;
  }
  if (mTakeover.IsSupersededBy(confirmation->primary, aNow)) {
    mTakeover.Superseded(*confirmation, mActions);
    return;
  }
  TakeProof(*confirmation, true, aNow);
  TakeSample(aNow);
  if (IsTakeoverActive() && mProof.term > mTakeover.RevokedTerm()) {
    mTakeover.Succeeded(mProof.primary, aNow, mActions);
  }
}

// No own proof of this term or an earlier one counts: it was revoked or
// replaced.
position::term_id
group_monitor::EndedTerm() const
{
  const auto revoked = mHoldsLock ? mTakeover.RevokedTerm() : mRevoked;
  return std::max(revoked, mReplaced);
}

// Whether the primary has started again since it was proved.
bool
group_monitor::IsOfOldLife(const proxy::confirmation& aProof) const
{
  const auto* primary = mTable.Find(aProof.primary);
  return primary != nullptr && aProof.askedAt < primary->restartSeenAt;
}

bool
group_monitor::IsNewer(const proxy::confirmation& aProof) const noexcept
{
  return aProof.term > mProof.term ||
         (aProof.term == mProof.term && aProof.askedAt > mProof.askedAt);
}

// The platform lifts fences when it promotes, so that an old primary and a
// replica behind may look like a majority again. A majority counts by itself
// only if no promotion can have gone unseen: a proof of the same term held
// until the asking, every member was asked in one round, or this VM has ordered
// the promotion itself.
bool
group_monitor::IsTrusted(const proxy::confirmation& aProof) const
{
  if (aProof.term == mProof.term &&
      aProof.askedAt < mProof.askedAt + mSettings.validity) {
    return true;
  }
  if (mHoldsLock && mTakeover.Step() == takeover_step::kPromote) {
    return true;
  }
  const auto& all = mTable.All();
  return std::all_of(all.begin(), all.end(), [&aProof](const auto& aOne) {
    const auto& view = aOne.second;
    return view.report && view.report->term <= aProof.term &&
           view.report->fencedAt <= aProof.term &&
           view.askedAt >= aProof.askedAt &&
           view.askedAt <= aProof.askedAt + kSameRound;
  });
}

// A term that was replaced is recorded in the store before the platform is
// asked to promote: a reading that begins after the servers answered shows it.
void
group_monitor::CheckTerms(const proxy::confirmation& aProof,
                          clock::time_point aNow)
{
  // The members that have yet to answer may spare the question.
  const auto& all = mTable.All();
  const bool isComplete =
    std::none_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.pendingSince.has_value();
    });
  if (mUnchecked || !isComplete || aNow < mNextCheck ||
      aNow >= aProof.askedAt + mSettings.validity) {
    return;
  }
  mUnchecked = aProof;
  mActions.emplace_back(read_replaced_term{});
}

// The change was given up. What was proved before it may have been replaced
// all the same, and must be proved anew.
void
group_monitor::LiftRevocation(position::term_id aTerm)
{
  if (mProof.term <= aTerm) {
    mProof.askedAt = {};
  }
}

bool
group_monitor::WantsProof(clock::time_point aNow) const
{
  if (IsTakeoverActive()) {
    return true;
  }
  const bool wanted =
    mWantedAt != clock::time_point{} && aNow < mWantedAt + kDemandLife;
  const bool isDue = aNow >= AsksFrom() || mDeniedAt > mProof.askedAt;
  return isDue && (Watches() || (mMayAsk && wanted));
}

void
group_monitor::SetQueryStagger(std::size_t aVms, double aPlace)
{
  const auto vms = static_cast<int>(aVms);
  const auto spread = std::min(kLongestSpread, kSpreadByVm * vms);
  mAskDelay = std::chrono::duration_cast<milliseconds>(spread * aPlace);
  mAskPause = kPauseByVm * vms;
}

// Whether this VM asks all the while, also for the others.
bool
group_monitor::Watches() const noexcept
{
  return mHoldsLock || (mStandsIn && mMayAsk);
}

// From when on the next proof is asked for.
clock::time_point
group_monitor::AsksFrom() const
{
  if (Watches()) {
    return mProof.askedAt + mSettings.askInterval;
  }
  // A VM that knows nothing yet asks at once: of those that start together none
  // can tell the others sooner.
  if (mProof.term == 0) {
    return mWantedSince;
  }
  const auto ending = mProof.askedAt + mSettings.validity - kOwnAskReserve;
  const auto wanted =
    mWantedSince + (mIsForwarded ? kForwardingTime : milliseconds{});
  return std::max(ending, wanted) + mAskDelay;
}

milliseconds
group_monitor::Pause(const member_view& aView) const
{
  const auto pause = aView.failures > 0 ? kRetryPause : kBusyPause;
  return Watches() || IsTakeoverActive() || mProof.term == 0
           ? pause
           : std::max(pause, mAskPause);
}

// A proof takes the primary and as many others as make a majority with it;
// without a primary that answers, all are asked.
void
group_monitor::Ask(clock::time_point aNow)
{
  for (const auto& [id, view] : mTable.All()) {
    if (view.pendingSince &&
        aNow - *view.pendingSince > 2 * mSettings.askTimeout) {
      mTable.Failed(id);
    }
  }
  const bool wantsProof = WantsProof(aNow);
  auto* primary = mTable.Find(mProof.primary);
  const bool knows = primary != nullptr && primary->failures == 0 &&
                     mDeniedAt <= mProof.askedAt && !IsTakeoverActive();
  const auto* witness = Witness();
  // One that is busy gives no report: others are asked before time runs out.
  const bool isLate = aNow >= AsksFrom() + kFirstPairTime;
  for (const auto& [id, view] : mTable.All()) {
    const bool inProof =
      !knows || isLate || &view == primary || &view == witness;
    const bool roundDue =
      mHoldsLock && aNow >= view.lastQueriedAt + kRoundPause;
    const bool paused = aNow < view.lastQueriedAt + Pause(view);
    if (!view.pendingSince && !paused &&
        ((wantsProof && inProof) || roundDue)) {
      AskOne(*mTable.Find(id), aNow);
    }
  }
}

void
group_monitor::AskOne(member_view& aView, clock::time_point aNow)
{
  aView.pendingSince = aNow;
  aView.lastQueriedAt = aNow;
  const bool cutOff = aView.failures >= kFailuresToLose &&
                      aView.listed.id == mProof.primary &&
                      IsReachedElsewhere(aNow);
  if (cutOff) {
    aView.relayedUntil = aNow + kRelayedTime;
  }
  const bool direct = mHoldsLock && aNow >= aView.relayedUntil;
  proxy::command question;
  question.kind = proxy::command_kind::kReport;
  mActions.emplace_back(send_command{ aView.listed.id, question, direct });
}

// The member to ask besides the primary: one that answers, near by preference.
const member_view*
group_monitor::Witness() const
{
  const member_view* best = nullptr;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mProof.primary || view.failures > 0) {
      continue;
    }
    if (best == nullptr ||
        (view.listed.isInSameDomain && !best->listed.isInSameDomain)) {
      best = &view;
    }
  }
  return best;
}

} // namespace currantshed::lead
