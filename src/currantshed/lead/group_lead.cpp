#include "currantshed/lead/group_lead.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace currantshed::lead {

namespace {

using std::chrono::milliseconds;

// Pause before the same server is asked again when it did not answer.
constexpr milliseconds kRetryPause{ 150 };
// The same for one that answered that it is busy.
constexpr milliseconds kBusyPause{ 60 };
// Every member is asked this often by the VM that watches, so that strayed
// fences and old primaries are seen.
constexpr milliseconds kRoundPause{ 2000 };
// How long a wish for proof lasts.
constexpr milliseconds kDemandLife{ 1000 };
// A VM without the duty asks by itself once the proofs that it is told leave
// it less than this.
constexpr milliseconds kOwnAskReserve{ 350 };
constexpr unsigned kFailuresToLose = 2;
// How long a primary that only others reach is asked through them.
constexpr milliseconds kRelayedTime{ 3000 };
// How lately another VM must have heard the primary to keep it.
constexpr milliseconds kReachLife{ 600 };
// How long nobody may lead before the group counts as vacant.
constexpr milliseconds kVacantAfter{ 1200 };
// A new holder of the duty looks on for this long first, so that an order of
// the holder before it has had its effect.
constexpr milliseconds kFirstLook{ 400 };
// Pause after a check of the terms that found the proof void, or that the store
// did not answer: then it rarely does soon, and each question has its price.
constexpr milliseconds kCheckPause{ 200 };
constexpr milliseconds kFailedCheckPause{ 1000 };
// Reports asked for within this time of each other are one round. It is shorter
// than the least time from a fence to the effect of a promotion.
constexpr milliseconds kSameRound{ 300 };
// A revocation that its author does not repeat lapses.
constexpr milliseconds kRevocationLife{ 5000 };

} // namespace

group_lead::group_lead(const lead_settings& aSettings)
  : mSettings(aSettings)
  , mTakeover(mTable, aSettings.validity)
{
}

void
group_lead::Configure(const std::vector<member>& aMembers,
                      clock::time_point aNow)
{
  mTable.Configure(aMembers, aNow);
  Evaluate(aNow);
}

void
group_lead::SetDuty(bool aHolds, std::uint64_t aEpoch, clock::time_point aNow)
{
  if (aHolds == mHoldsDuty && aEpoch == mEpoch) {
    return;
  }
  if (aHolds && !mHoldsDuty) {
    mDutySince = aNow;
    mVacantSince.reset();
  }
  mHoldsDuty = aHolds;
  mEpoch = aEpoch;
  if (!aHolds && IsChanging()) {
    LiftRevocation(mTakeover.RevokedTerm());
    mTakeover.Abandon(mActions);
  }
  Evaluate(aNow);
}

void
group_lead::VmsListed(std::vector<std::string> aVms,
                      clock::time_point aAskedAt,
                      clock::time_point aNow)
{
  if (mTakeover.Step() == takeover_step::kWaitOut &&
      aAskedAt >= mTakeover.BarredAt()) {
    mMustObey = std::move(aVms);
  }
  CheckObedience();
  Evaluate(aNow);
}

void
group_lead::SetReplaced(position::term_id aTerm, clock::time_point aNow)
{
  if (aTerm > mReplaced) {
    mReplaced = aTerm;
    Evaluate(aNow);
  }
}

void
group_lead::TermsChecked(std::optional<position::term_id> aReplaced,
                         clock::time_point aNow)
{
  const auto checked = std::exchange(mUnchecked, std::nullopt);
  mNextCheck = aNow + (aReplaced ? kCheckPause : kFailedCheckPause);
  if (!aReplaced || !checked) {
    return;
  }
  mReplaced = std::max(mReplaced, *aReplaced);
  const auto revoked = mHoldsDuty ? mTakeover.RevokedTerm() : mRevoked;
  if (checked->term > std::max(mReplaced, revoked)) {
    TakeProof(*checked, aNow);
  }
  Evaluate(aNow);
}

void
group_lead::Wanted(clock::time_point aNow)
{
  mWantedAt = aNow;
  Evaluate(aNow);
}

void
group_lead::Denied(position::term_id aTerm, clock::time_point aNow)
{
  if (aTerm >= mProof.term) {
    mDeniedAt = aNow;
    mWantedAt = aNow;
  }
  Evaluate(aNow);
}

void
group_lead::ServerAnswered(const upstream::server_id& aServer,
                           const std::optional<proxy::server_report>& aReport,
                           clock::time_point aAskedAt,
                           clock::time_point aNow)
{
  if (aReport) {
    mTable.Reported(aServer, *aReport, aAskedAt, aNow);
    const bool isSample = aReport->isPrimary && aServer == mProof.primary &&
                          aReport->term == mProof.term &&
                          aAskedAt < mProof.askedAt + mSettings.validity;
    if (isSample) {
      mSample = { aReport->term, aReport->received, aAskedAt };
      mActions.emplace_back(publish_sample{ *mSample });
    }
  } else {
    if (auto* view = mTable.Find(aServer)) {
      view->asking.reset();
    }
    mTable.Heard(aServer, aNow);
  }
  Evaluate(aNow);
}

void
group_lead::ServerFailed(const upstream::server_id& aServer,
                         std::optional<clock::time_point> aHeardAt,
                         clock::time_point aNow)
{
  // What was heard before the question failed doesn't make up for it.
  if (aHeardAt) {
    mTable.Heard(aServer, *aHeardAt);
  }
  mTable.Failed(aServer);
  Evaluate(aNow);
}

void
group_lead::PromotionAnswered(bool aTaken,
                              bool aRejected,
                              clock::time_point aNow)
{
  mTakeover.PromotionAnswered(aTaken, aRejected, aNow);
  Evaluate(aNow);
}

void
group_lead::HeardWatch(const lead_news& aNews, clock::time_point aNow)
{
  if (aNews.epoch >= mRevokedEpoch && !mHoldsDuty) {
    if (aNews.revokedTerm != mRevoked) {
      mActions.emplace_back(publish_revocation{ aNews.revokedTerm });
    }
    if (aNews.revokedTerm < mRevoked) {
      LiftRevocation(mRevoked);
    }
    mRevoked = aNews.revokedTerm;
    mRevokedEpoch = aNews.epoch;
    mRevokedAt = aNow;
  }
  TakeProof(aNews.proof, aNow);
  if (aNews.sample && aNews.sample->term == mProof.term) {
    mActions.emplace_back(publish_sample{ *aNews.sample });
  }
  Evaluate(aNow);
}

void
group_lead::HeardReach(const std::string& aVm,
                       const reach_news& aNews,
                       clock::time_point aNow)
{
  mReach[aVm] = { aNews, aNow };
  CheckObedience();
  Evaluate(aNow);
}

lead_news
group_lead::Watch() const
{
  // Only the word of who holds the duty revokes and lifts revocations.
  const auto epoch = mHoldsDuty ? mEpoch : 0;
  return { mProof, mSample, mTakeover.RevokedTerm(), epoch };
}

reach_news
group_lead::Reach(std::optional<clock::time_point> aHeardAt) const
{
  reach_news news{ mProof.term, mProof.primary, {}, mRevoked };
  if (const auto* primary = mTable.Find(mProof.primary)) {
    news.heardAt = primary->report ? primary->heardAt : clock::time_point{};
  }
  if (aHeardAt) {
    news.heardAt = std::max(news.heardAt, *aHeardAt);
  }
  return news;
}

void
group_lead::Tick(clock::time_point aNow)
{
  Evaluate(aNow);
}

clock::time_point
group_lead::NextTick() const
{
  auto next = mTakeover.NextTick();
  if (Speaks() || mNow < mWantedAt + kDemandLife) {
    next = std::min(next, mNow + milliseconds{ 50 });
  }
  if (mRevoked != 0) {
    next = std::min(next, mRevokedAt + kRevocationLife);
  }
  return next;
}

std::vector<action>
group_lead::TakeActions()
{
  return std::exchange(mActions, {});
}

void
group_lead::Evaluate(clock::time_point aNow)
{
  mNow = std::max(mNow, aNow);
  if (mRevoked != 0 && !mHoldsDuty && mNow > mRevokedAt + kRevocationLife) {
    LiftRevocation(mRevoked);
    mRevoked = 0;
    mActions.emplace_back(publish_revocation{ 0 });
  }
  TakeOwnProof(mNow);
  if (mHoldsDuty) {
    Judge(mNow);
    mTakeover.Tick(mNow, mActions);
    Repair(mNow);
  }
  Ask(mNow);
}

void
group_lead::TakeProof(const proxy::confirmation& aProof, clock::time_point aNow)
{
  if (aProof.term <= mReplaced || !IsNewer(aProof)) {
    return;
  }
  if (aProof.term > mProof.term) {
    mSample.reset();
    mActions.emplace_back(note_step{
      "primary",
      absl::StrCat("server=", aProof.primary, " term=", aProof.term) });
  }
  mProof = aProof;
  if (aNow < aProof.askedAt + mSettings.validity) {
    mActions.emplace_back(publish_proof{ mProof });
  }
}

void
group_lead::TakeOwnProof(clock::time_point aNow)
{
  const auto proof = mTable.Proof();
  if (!proof || !IsNewer(*proof)) {
    return;
  }
  const auto revoked = mHoldsDuty ? mTakeover.RevokedTerm() : mRevoked;
  if (proof->term <= std::max(revoked, mReplaced)) {
    return;
  }
  if (!IsTrusted(*proof)) {
    CheckTerms(*proof, aNow);
    return;
  }
  TakeProof(*proof, aNow);
  if (IsChanging() && mProof.term > mTakeover.RevokedTerm()) {
    mTakeover.Succeeded(mProof.primary, aNow, mActions);
  }
}

bool
group_lead::IsNewer(const proxy::confirmation& aProof) const noexcept
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
group_lead::IsTrusted(const proxy::confirmation& aProof) const
{
  if (aProof.term == mProof.term &&
      aProof.askedAt < mProof.askedAt + mSettings.validity) {
    return true;
  }
  if (mHoldsDuty && mTakeover.Step() == takeover_step::kPromote) {
    return true;
  }
  const auto& all = mTable.All();
  return std::all_of(all.begin(), all.end(), [&aProof](const auto& aOne) {
    const auto& view = aOne.second;
    return view.report && view.report->fencedAt <= aProof.term &&
           view.askedAt >= aProof.askedAt &&
           view.askedAt <= aProof.askedAt + kSameRound;
  });
}

// A term that was replaced is recorded in the store before the platform is
// asked to promote: a reading that begins after the servers answered shows it.
void
group_lead::CheckTerms(const proxy::confirmation& aProof,
                       clock::time_point aNow)
{
  // The members that have yet to answer may spare the question.
  const auto& all = mTable.All();
  const bool isComplete =
    std::none_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.asking.has_value();
    });
  if (mUnchecked || !isComplete || aNow < mNextCheck ||
      aNow >= aProof.askedAt + mSettings.validity) {
    return;
  }
  mUnchecked = aProof;
  mActions.emplace_back(check_terms{});
}

// The change was given up. What was proved before it may have been replaced
// all the same, and must be proved anew.
void
group_lead::LiftRevocation(position::term_id aTerm)
{
  if (mProof.term <= aTerm) {
    mProof.askedAt = {};
  }
}

void
group_lead::Judge(clock::time_point aNow)
{
  if (IsChanging() || aNow < mDutySince + kFirstLook) {
    return;
  }
  mMustObey.reset();
  NoteKept(aNow);
  const auto* primary = mTable.Find(mProof.primary);
  if (mProof.term != 0 && primary != nullptr && IsLost(aNow)) {
    mTakeover.Begin(
      takeover_reason::kLost, mProof.primary, mProof.term, aNow, mActions);
    return;
  }
  const bool leaves = mProof.term != 0 && primary != nullptr &&
                      primary->listed.draining &&
                      aNow < mProof.askedAt + mSettings.validity;
  const auto& all = mTable.All();
  const bool canMove =
    std::any_of(all.begin(), all.end(), [](const auto& aOne) {
      return aOne.second.report && !aOne.second.report->isPrimary &&
             !aOne.second.listed.draining;
    });
  if (leaves && canMove) {
    mTakeover.Begin(
      takeover_reason::kDraining, mProof.primary, mProof.term, aNow, mActions);
    return;
  }
  if (IsVacant(aNow)) {
    mTakeover.Begin(takeover_reason::kVacant,
                    mProof.primary,
                    std::max({ mProof.term, mReplaced, mTable.HighestLog() }),
                    aNow,
                    mActions);
  }
}

// Nobody reaches the primary: neither this VM nor any that told lately.
bool
group_lead::IsLost(clock::time_point aNow) const
{
  const auto* primary = mTable.Find(mProof.primary);
  if (primary->failures < kFailuresToLose ||
      aNow - primary->heardAt < mSettings.silentAfter) {
    return false;
  }
  return !IsReachedElsewhere(aNow);
}

// Whether another VM has heard the primary lately.
bool
group_lead::IsReachedElsewhere(clock::time_point aNow) const
{
  return !ReachedBy(aNow).empty();
}

// A VM that has heard the primary lately, or an empty name.
std::string
group_lead::ReachedBy(clock::time_point aNow) const
{
  if (mProof.term <= mReplaced) {
    return {};
  }
  const auto found =
    std::find_if(mReach.begin(), mReach.end(), [&](const auto& aEntry) {
      const auto& news = aEntry.second.news;
      return news.primary == mProof.primary && aNow - news.heardAt < kReachLife;
    });
  return found == mReach.end() ? std::string() : found->first;
}

// Tells once for each silence which VM's word keeps the primary.
void
group_lead::NoteKept(clock::time_point aNow)
{
  const auto* primary = mTable.Find(mProof.primary);
  const bool silent = primary != nullptr && primary->failures > 0 &&
                      aNow - primary->heardAt >= mSettings.silentAfter;
  const auto by = silent ? ReachedBy(aNow) : std::string();
  if (by != mKeptBy && !by.empty()) {
    mActions.emplace_back(
      note_step{ "kept", absl::StrCat(mProof.primary, " heard_by=", by) });
  }
  mKeptBy = by;
}

// A majority answers, and none of the servers leads; or the one that led is
// gone from the list.
bool
group_lead::IsVacant(clock::time_point aNow)
{
  std::size_t answering = 0;
  bool leads = false;
  for (const auto& [id, view] : mTable.All()) {
    const bool fresh = view.report && aNow - view.askedAt < kVacantAfter;
    answering += fresh ? 1 : 0;
    leads = leads ||
            (fresh && view.report->isPrimary && view.report->term > mReplaced);
  }
  const bool unlisted =
    mProof.term == 0 || mTable.Find(mProof.primary) == nullptr;
  const bool stale = aNow - mProof.askedAt > kVacantAfter;
  if (leads || answering < mTable.Majority() || !(unlisted || stale) ||
      IsReachedElsewhere(aNow)) {
    mVacantSince.reset();
    return false;
  }
  if (!mVacantSince) {
    mVacantSince = aNow;
  }
  return aNow - *mVacantSince > kVacantAfter;
}

bool
group_lead::WantsProof(clock::time_point aNow) const
{
  if (IsChanging()) {
    return true;
  }
  const bool wanted =
    mWantedAt != clock::time_point{} && aNow < mWantedAt + kDemandLife;
  if (mHoldsDuty || (mStandsIn && mMayAsk)) {
    return aNow >= mProof.askedAt + mSettings.askInterval ||
           mDeniedAt > mProof.askedAt;
  }
  const bool endsSoon =
    aNow + kOwnAskReserve >= mProof.askedAt + mSettings.validity;
  return mMayAsk && wanted && (endsSoon || mDeniedAt > mProof.askedAt);
}

// A proof takes the primary and as many others as make a majority with it;
// without a primary that answers, all are asked.
void
group_lead::Ask(clock::time_point aNow)
{
  for (const auto& [id, view] : mTable.All()) {
    if (view.asking && aNow - *view.asking > 2 * mSettings.askTimeout) {
      mTable.Failed(id);
    }
  }
  const bool wantsProof = WantsProof(aNow);
  auto* primary = mTable.Find(mProof.primary);
  const bool knows = primary != nullptr && primary->failures == 0 &&
                     mDeniedAt <= mProof.askedAt && !IsChanging();
  const auto* witness = Witness();
  // One that is busy gives no report: others are asked before time runs out.
  const bool isLate =
    aNow + mSettings.validity / 2 >= mProof.askedAt + mSettings.validity;
  for (const auto& [id, view] : mTable.All()) {
    const bool inProof =
      !knows || isLate || &view == primary || &view == witness;
    const bool roundDue = mHoldsDuty && aNow >= view.lastAsked + kRoundPause;
    const auto pause = view.failures > 0 ? kRetryPause : kBusyPause;
    const bool paused = aNow < view.lastAsked + pause;
    if (!view.asking && !paused && ((wantsProof && inProof) || roundDue)) {
      AskOne(*mTable.Find(id), aNow);
    }
  }
}

void
group_lead::AskOne(member_view& aView, clock::time_point aNow)
{
  aView.asking = aNow;
  aView.lastAsked = aNow;
  const bool cutOff = aView.failures >= kFailuresToLose &&
                      aView.listed.id == mProof.primary &&
                      IsReachedElsewhere(aNow);
  if (cutOff) {
    aView.relayedUntil = aNow + kRelayedTime;
  }
  const bool direct = mHoldsDuty && aNow >= aView.relayedUntil;
  proxy::command question;
  question.kind = proxy::command_kind::kReport;
  mActions.emplace_back(ask_server{ aView.listed.id, question, direct });
}

// The member to ask besides the primary: one that answers, near by preference.
const member_view*
group_lead::Witness() const
{
  const member_view* best = nullptr;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mProof.primary || view.failures > 0) {
      continue;
    }
    if (best == nullptr || (view.listed.isNear && !best->listed.isNear)) {
      best = &view;
    }
  }
  return best;
}

// The term of a primary that leads but can't be proved, since a holder of the
// duty before this one fenced its group and went no further; zero if there is
// none. Taking the duty over kept that holder from recording the term as
// replaced later, and unrecorded it may not have the platform promote.
position::term_id
group_lead::UnreplacedTerm(clock::time_point aNow) const
{
  if (aNow < mDutySince + kFirstLook) {
    return 0;
  }
  position::term_id led = 0;
  for (const auto& [id, view] : mTable.All()) {
    const bool leads = view.report && view.report->isPrimary &&
                       aNow - view.askedAt < kVacantAfter;
    led = std::max(led, leads ? view.report->term : 0);
  }
  return led > mReplaced && led >= mTable.HighestLog() ? led : 0;
}

// Brings servers back that a change of the primary left behind: old primaries
// step down, fences of a settled term are lifted.
void
group_lead::Repair(clock::time_point aNow)
{
  const bool isProved = aNow < mProof.askedAt + mSettings.validity;
  const auto settled = isProved ? mProof.term : UnreplacedTerm(aNow);
  if (IsChanging() || settled == 0) {
    return;
  }
  // Without a proof, members are asked at short intervals all the while.
  const auto pause = isProved ? kRetryPause : kBusyPause;
  for (const auto& [id, view] : mTable.All()) {
    if (id == mProof.primary || !view.report || view.asking ||
        aNow < view.lastAsked + pause) {
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
    asked.asking = aNow;
    asked.lastAsked = aNow;
    mActions.emplace_back(note_step{ "repair", id });
    mActions.emplace_back(ask_server{ id, order });
  }
}

void
group_lead::CheckObedience()
{
  const auto revoked = mTakeover.RevokedTerm();
  if (revoked == 0 || !mMustObey) {
    return;
  }
  const bool all =
    std::all_of(mMustObey->begin(), mMustObey->end(), [&](const auto& aVm) {
      const auto found = mReach.find(aVm);
      return found != mReach.end() &&
             found->second.news.obeyedTerm >= revoked &&
             found->second.news.saidAt >= mTakeover.BegunAt();
    });
  if (all) {
    mTakeover.AllObeyed();
  }
}

} // namespace currantshed::lead
