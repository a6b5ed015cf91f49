// How a VM confirms a group's primary: its own queries, and the checks of their
// results.
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

// The VM that monitors a group queries every member at this interval, to detect
// leftover fences and old primaries.
constexpr milliseconds kRoundPause{ 2000 };
// A VM without the failover lock sends its own queries once the confirmation
// that it was told is valid for less than this.
constexpr milliseconds kOwnAskReserve{ 350 };
// Stagger between the queries of VMs without the failover lock, and its maximum
// over all of them. The first answer arrives and is forwarded within about 30
// ms, so that some 12 of 75 VMs send queries, not all. The validity that
// remains suffices for a retry.
constexpr milliseconds kSpreadByVm{ 2 };
constexpr milliseconds kLongestSpread{ 150 };
// How long a VM of the same failure domain is given to forward what it knows.
constexpr milliseconds kForwardingTime{ 30 };
// Minimum pause of one VM between queries, for each VM that may query. All VMs
// together send at most 250 queries per second to a server; each occupies a
// connection slot for 0.5 ms.
constexpr milliseconds kPauseByVm{ 4 };
// How long the primary and one witness have to answer before all members are
// queried.
constexpr milliseconds kFirstPairTime{ 150 };
// A confirmation that extends the validity by less than this is not worth
// forwarding: it saves the other VMs no query.
constexpr milliseconds kWorthTelling{ 150 };
// How long a primary that only other VMs reach is queried through them.
constexpr milliseconds kRelayedTime{ 3000 };
// Pause after a read of the replaced term that voided the confirmation, and
// after a read that failed. A store that did not answer seldom recovers at
// once, and every read adds to its load.
constexpr milliseconds kCheckPause{ 200 };
constexpr milliseconds kFailedCheckPause{ 1000 };
// Reports whose queries were sent within this time count as one poll round.
// Shorter than the minimum time from a fence to the effect of a promotion.
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

// Records the log position that the primary reported, once it is confirmed that
// it was primary then. The reports that first confirm a term count as well:
// without their position no replica could serve reads until the primary has
// answered again.
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

// The latest term that was revoked or replaced. This VM's own confirmations of
// this or an earlier term are not valid.
position::term_id
group_monitor::EndedTerm() const
{
  const auto revoked = mHoldsLock ? mTakeover.RevokedTerm() : mRevoked;
  return std::max(revoked, mReplaced);
}

// Whether the primary has restarted since it was confirmed.
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
// lagging replica may look like a majority again. A majority is sufficient by
// itself only if no promotion can have gone unnoticed: a confirmation of the
// same term was valid when the queries were sent, every member was queried in
// one poll round, or this VM itself requested the promotion.
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

// A term is recorded in the store as replaced before the platform is asked to
// promote. A read that starts after the servers answered therefore shows it.
void
group_monitor::CheckTerms(const proxy::confirmation& aProof,
                          clock::time_point aNow)
{
  // The answers still outstanding may make the read of the store unnecessary.
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

// A takeover was abandoned. It may have had its effect nevertheless, so that
// earlier confirmations are no longer valid.
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

// Whether this VM queries continuously, on behalf of all VMs.
bool
group_monitor::Watches() const noexcept
{
  return mHoldsLock || (mStandsIn && mMayAsk);
}

// The time from which the next confirmation may be requested.
clock::time_point
group_monitor::AsksFrom() const
{
  if (Watches()) {
    return mProof.askedAt + mSettings.askInterval;
  }
  // A VM that knows no primary yet queries at once. If several VMs start
  // together, none of them could learn it sooner from another.
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

// A confirmation needs answers from the primary and enough members to form a
// majority with it. Without a primary that answers, all members are queried.
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
  // A busy server gives no report, so the other members are queried while there
  // is still time.
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

// The member to query besides the primary: one that answers, preferably in the
// same failure domain.
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
