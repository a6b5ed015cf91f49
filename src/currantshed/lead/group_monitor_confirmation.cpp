// How a VM confirms a group's primary: its own queries, and the checks of their
// results.
#include "currantshed/lead/group_monitor.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "currantshed/lead/internal/group_monitor_timing.hpp"

namespace currantshed::lead {

using internal::kBusyPause;
using internal::kDemandTimeout;
using internal::kFailuresUntilLost;
using internal::kRetryPause;

namespace {

using std::chrono::milliseconds;

// The VM that monitors a group queries every member at this interval, to detect
// leftover fences and old primaries.
constexpr milliseconds kPollInterval{ 2000 };
// A VM without the failover lock sends its own queries once the latest
// confirmation that it received is valid for less than this.
constexpr milliseconds kOwnQueryReserve{ 350 };
// Stagger between the queries of VMs without the failover lock, and its maximum
// over all of them. The first answer arrives and is forwarded within about 30
// ms, so that some 12 of 75 VMs send queries, not all. The validity that
// remains suffices for a retry.
constexpr milliseconds kStaggerPerVm{ 2 };
constexpr milliseconds kMaxStagger{ 150 };
// How long a VM of the same failure domain is given to forward what it knows.
constexpr milliseconds kForwardingTime{ 30 };
// Minimum pause of one VM between queries, for each VM that may query. All VMs
// together send at most 250 queries per second to a server; each occupies a
// connection slot for 0.5 ms.
constexpr milliseconds kPausePerVm{ 4 };
// How long the primary and one witness have to answer before all members are
// queried.
constexpr milliseconds kFirstPairWait{ 150 };
// A confirmation that extends the validity by less than this is not worth
// forwarding: it saves the other VMs no query.
constexpr milliseconds kMinForwardedExtension{ 150 };
// How long a primary that only other VMs reach is queried through them.
constexpr milliseconds kRelayedQueryTime{ 3000 };
// Pause after a read of the replaced term that voided the confirmation, and
// after a read that failed. A store that did not answer seldom recovers at
// once, and every read adds to its load.
constexpr milliseconds kCheckPause{ 200 };
constexpr milliseconds kFailedCheckPause{ 1000 };
// Reports whose queries were sent within this time count as one poll round.
// Shorter than the minimum time from a fence to the effect of a promotion.
constexpr milliseconds kMaxRoundSpan{ 300 };

} // namespace

void
group_monitor::ReplacedTermRead(std::optional<position::term_id> aReplaced,
                                clock::time_point aNow)
{
  const auto checked = std::exchange(mUncheckedConfirmation, std::nullopt);
  mNextCheck = aNow + (aReplaced ? kCheckPause : kFailedCheckPause);
  if (!aReplaced || !checked) {
    return;
  }
  mReplaced = std::max(mReplaced, *aReplaced);
  NoteReplaced(*aReplaced);
  if (checked->term > LastInvalidTerm()) {
    AdoptConfirmation(*checked, true, aNow);
    AdoptPositionSample(aNow);
  }
  Evaluate(aNow);
}

void
group_monitor::AdoptConfirmation(const proxy::confirmation& aConfirmation,
                                 bool aIsOwn,
                                 clock::time_point aNow)
{
  if (aConfirmation.term <= mReplaced || !IsNewer(aConfirmation) ||
      PredatesRestart(aConfirmation)) {
    return;
  }
  if (aConfirmation.term > mConfirmation.term) {
    NoteReplaced(aConfirmation.term - 1);
    mSample.reset();
    mActions.emplace_back(log_step{
      "primary",
      absl::StrCat(
        "server=", aConfirmation.primary, " term=", aConfirmation.term) });
  }
  const bool isWorthForwarding =
    aConfirmation.askedAt >= mConfirmation.askedAt + kMinForwardedExtension;
  mConfirmation = aConfirmation;
  if (aNow < aConfirmation.askedAt + mSettings.validity) {
    mActions.emplace_back(
      publish_confirmation{ mConfirmation, aIsOwn && isWorthForwarding });
  }
}

// Records the log position that the primary reported, once it is confirmed that
// it was primary then. The reports that first confirm a term count as well:
// without their position no replica could serve reads until the primary has
// answered again.
void
group_monitor::AdoptPositionSample(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mConfirmation.primary);
  const bool isSample =
    primary != nullptr && primary->report && primary->report->isPrimary &&
    primary->report->term == mConfirmation.term &&
    primary->askedAt < mConfirmation.askedAt + mSettings.validity;
  if (!isSample || aNow >= mConfirmation.askedAt + mSettings.validity ||
      (mSample && mSample->askedAt >= primary->askedAt)) {
    return;
  }
  mSample = { mConfirmation.term, primary->report->received, primary->askedAt };
  mActions.emplace_back(publish_sample{ *mSample });
}

void
group_monitor::AdoptOwnConfirmation(clock::time_point aNow)
{
  const auto confirmation = mTable.Confirmation();
  if (!confirmation || !IsNewer(*confirmation)) {
    return;
  }
  if (confirmation->term <= LastInvalidTerm()) {
    return;
  }
  if (!IsSufficient(*confirmation)) {
    CheckReplacedTerm(*confirmation, aNow);
    return;
  }
  if (mTakeover.IsSupersededBy(confirmation->primary, aNow)) {
    mTakeover.Superseded(*confirmation, mActions);
    return;
  }
  AdoptConfirmation(*confirmation, true, aNow);
  AdoptPositionSample(aNow);
  NoteTermStart(aNow);
  if (IsTakeoverActive() && mConfirmation.term > mTakeover.RevokedTerm()) {
    mTakeover.Succeeded(mConfirmation.primary, aNow, mActions);
  }
}

// The latest term that was revoked or replaced. This VM's own confirmations of
// this or an earlier term are not valid.
position::term_id
group_monitor::LastInvalidTerm() const
{
  const auto revoked = mHoldsLock ? mTakeover.RevokedTerm() : mRevoked;
  return std::max(revoked, mReplaced);
}

// Whether the primary has restarted since it was confirmed.
bool
group_monitor::PredatesRestart(const proxy::confirmation& aConfirmation) const
{
  const auto* primary = mTable.Find(aConfirmation.primary);
  return primary != nullptr && aConfirmation.askedAt < primary->restartSeenAt;
}

bool
group_monitor::IsNewer(const proxy::confirmation& aConfirmation) const noexcept
{
  return aConfirmation.term > mConfirmation.term ||
         (aConfirmation.term == mConfirmation.term &&
          aConfirmation.askedAt > mConfirmation.askedAt);
}

// The platform lifts fences when it promotes, so that an old primary and a
// lagging replica may look like a majority again. A majority is sufficient by
// itself only if no promotion can have gone unnoticed: a confirmation of the
// same term was valid when the queries were sent, every member was queried in
// one poll round, or this VM itself requested the promotion.
bool
group_monitor::IsSufficient(const proxy::confirmation& aConfirmation) const
{
  if (aConfirmation.term == mConfirmation.term &&
      aConfirmation.askedAt < mConfirmation.askedAt + mSettings.validity) {
    return true;
  }
  if (mHoldsLock && mTakeover.Step() == takeover_step::kPromote) {
    return true;
  }
  const auto& all = mTable.All();
  return std::all_of(
    all.begin(), all.end(), [&aConfirmation](const auto& aOne) {
      const auto& view = aOne.second;
      return view.report && view.report->term <= aConfirmation.term &&
             view.report->fencedAt <= aConfirmation.term &&
             view.askedAt >= aConfirmation.askedAt &&
             view.askedAt <= aConfirmation.askedAt + kMaxRoundSpan;
    });
}

// A term is recorded in the store as replaced before the platform is asked to
// promote. A read that starts after the servers answered therefore shows it.
void
group_monitor::CheckReplacedTerm(const proxy::confirmation& aConfirmation,
                                 clock::time_point aNow)
{
  // The answers still outstanding may make the read of the store unnecessary.
  const auto& all = mTable.All();
  const bool isComplete =
    std::none_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.pendingSince.has_value();
    });
  if (mUncheckedConfirmation || !isComplete || aNow < mNextCheck ||
      aNow >= aConfirmation.askedAt + mSettings.validity) {
    return;
  }
  mUncheckedConfirmation = aConfirmation;
  mActions.emplace_back(read_replaced_term{});
}

// A takeover was abandoned. It may have had its effect nevertheless, so that
// earlier confirmations are no longer valid.
void
group_monitor::LiftRevocation(position::term_id aTerm)
{
  if (mConfirmation.term <= aTerm) {
    mConfirmation.askedAt = {};
  }
}

bool
group_monitor::NeedsConfirmation(clock::time_point aNow) const
{
  if (IsTakeoverActive()) {
    return true;
  }
  const bool wanted =
    mDemandAt != clock::time_point{} && aNow < mDemandAt + kDemandTimeout;
  const bool isDue = aNow >= NextQueryAt() || mDeniedAt > mConfirmation.askedAt;
  return isDue && (IsMonitoring() || (mMayConfirm && wanted));
}

void
group_monitor::SetQueryStagger(std::size_t aVms, double aFraction)
{
  const auto vms = static_cast<int>(aVms);
  const auto spread = std::min(kMaxStagger, kStaggerPerVm * vms);
  mQueryDelay = std::chrono::duration_cast<milliseconds>(spread * aFraction);
  mQueryPause = kPausePerVm * vms;
}

// Whether this VM queries continuously, on behalf of all VMs.
bool
group_monitor::IsMonitoring() const noexcept
{
  return mHoldsLock || (mIsInterim && mMayConfirm);
}

// The time from which the next confirmation may be requested.
clock::time_point
group_monitor::NextQueryAt() const
{
  if (IsMonitoring()) {
    return mConfirmation.askedAt + mSettings.askInterval;
  }
  // A VM that knows no primary yet queries at once. If several VMs start
  // together, none of them could learn it sooner from another.
  if (mConfirmation.term == 0) {
    return mDemandSince;
  }
  const auto ending =
    mConfirmation.askedAt + mSettings.validity - kOwnQueryReserve;
  const auto wanted =
    mDemandSince + (mIsForwarded ? kForwardingTime : milliseconds{});
  return std::max(ending, wanted) + mQueryDelay;
}

milliseconds
group_monitor::QueryPause(const member_view& aView) const
{
  const auto pause = aView.failures > 0 ? kRetryPause : kBusyPause;
  return IsMonitoring() || IsTakeoverActive() || mConfirmation.term == 0
           ? pause
           : std::max(pause, mQueryPause);
}

// A confirmation needs answers from the primary and enough members to form a
// majority with it. Without a primary that answers, all members are queried.
void
group_monitor::SendQueries(clock::time_point aNow)
{
  for (const auto& [id, view] : mTable.All()) {
    if (view.pendingSince &&
        aNow - *view.pendingSince > 2 * mSettings.askTimeout) {
      mTable.Failed(id);
    }
  }
  const bool needsConfirmation = NeedsConfirmation(aNow);
  auto* primary = mTable.Find(mConfirmation.primary);
  const bool knowsPrimary = primary != nullptr && primary->failures == 0 &&
                            mDeniedAt <= mConfirmation.askedAt &&
                            !IsTakeoverActive();
  const auto* witness = Witness();
  // A busy server gives no report, so the other members are queried while there
  // is still time.
  const bool isPairLate = aNow >= NextQueryAt() + kFirstPairWait;
  for (const auto& [id, view] : mTable.All()) {
    const bool isNeeded =
      !knowsPrimary || isPairLate || &view == primary || &view == witness;
    const bool isPollDue =
      mHoldsLock && aNow >= view.lastQueriedAt + kPollInterval;
    const bool paused = aNow < view.lastQueriedAt + QueryPause(view);
    if (!view.pendingSince && !paused &&
        ((needsConfirmation && isNeeded) || isPollDue)) {
      SendQuery(*mTable.Find(id), aNow);
    }
  }
}

void
group_monitor::SendQuery(member_view& aView, clock::time_point aNow)
{
  aView.pendingSince = aNow;
  aView.lastQueriedAt = aNow;
  const bool isCutOff = aView.failures >= kFailuresUntilLost &&
                        aView.listed.id == mConfirmation.primary &&
                        IsReachableElsewhere(aNow);
  if (isCutOff) {
    aView.relayedUntil = aNow + kRelayedQueryTime;
  }
  const bool direct = mHoldsLock && aNow >= aView.relayedUntil;
  proxy::command query;
  query.kind = proxy::command_kind::kReport;
  mActions.emplace_back(send_command{ aView.listed.id, query, direct });
}

// The member to query besides the primary: one that answers, preferably in the
// same failure domain.
const member_view*
group_monitor::Witness() const
{
  const member_view* best = nullptr;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mConfirmation.primary || view.failures > 0) {
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
