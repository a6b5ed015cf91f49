#include "currantshed/failover/coordinator.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "currantshed/failover/detector.hpp"
#include "currantshed/failover/follower_repair.hpp"
#include "currantshed/failover/promoter.hpp"
#include "currantshed/failover/server_monitor.hpp"
#include "currantshed/failover/term_reservations.hpp"

namespace currantshed::failover {

namespace {

using std::chrono::milliseconds;

// Delay per rank for changes that are not urgent.
constexpr milliseconds kPlannedRankDelay{ 1000 };
// Delay, per rank and once more, after which a pooler that did not promote the
// primary publishes it.
constexpr milliseconds kPublishDelay{ 2000 };
// Minimum time between two planned changes of the primary for the same set of
// servers marked as leaving, so that the primary does not move back and forth.
constexpr milliseconds kPlannedPause{ 10000 };

bool
IsPlanned(cause aCause)
{
  return aCause == cause::kLeaving || aCause == cause::kHigherTerm;
}

// Servers that the platform marks as leaving.
std::vector<upstream::server_id>
LeavingMarks(const group::description& aGroup)
{
  std::vector<upstream::server_id> marked;
  for (const auto& member : aGroup.members) {
    if (member.leaving) {
      marked.push_back(member.id);
    }
  }
  return marked;
}

// Combines detection, terms, promotion and repair for one group.
class group_coordinator final : public coordinator
{
public:
  explicit group_coordinator(const coordinator_settings& aSettings)
    : mSettings(aSettings)
    , mMonitor(aSettings)
    , mDetector(aSettings)
    , mReservations(aSettings)
    , mPromoter(aSettings, mMonitor, mReservations)
    , mRepair(aSettings, mMonitor)
  {
  }

  void Configure(const group::description& aGroup,
                 unsigned aRank,
                 unsigned aOwners,
                 clock::time_point aNow) override
  {
    if (!SameServers(aGroup)) {
      mPromoter.Abandon();
    }
    if (LeavingMarks(mGroup) != LeavingMarks(aGroup)) {
      mPlannedFrom = {};
    }
    mGroup = aGroup;
    mMonitor.Configure(aGroup, aNow);
    mReservations.SetGroup(aGroup.name);
    mReservations.SetRank(aRank);
    mDetector.SetOwners(aOwners);
    mPromoter.SetRank(aRank);
    mRepair.SetRank(aRank);
    mSettings.rank = aRank;
    Evaluate(aNow);
  }

  void StatusArrived(const upstream::server_id& aServer,
                     const upstream::server_status& aStatus,
                     clock::time_point aAskedAt,
                     clock::time_point aNow) override
  {
    mMonitor.Answered(aServer, aStatus, aAskedAt, aNow);
    Evaluate(aNow);
  }

  void StatusFailed(const upstream::server_id& aServer,
                    clock::time_point aNow) override
  {
    mMonitor.Failed(aServer, aNow);
    Evaluate(aNow);
  }

  void PeerSuspects(const std::string& aVm,
                    const std::string& aFailureDomain,
                    const suspicion& aReport,
                    clock::time_point aNow) override
  {
    mDetector.PeerSuspects(aVm, aFailureDomain, aReport, aNow);
    Evaluate(aNow);
  }

  void PeerAnnounces(position::term_id aTerm,
                     const upstream::server_id& aPrimary,
                     clock::time_point aNow) override
  {
    mReservations.ObserveTerm(aTerm);
    if (aTerm > mPrimary.term && mMonitor.Find(aPrimary) != nullptr) {
      Adopt({ aTerm, aPrimary }, false, aNow);
    }
    Evaluate(aNow);
  }

  void FenceAnswered(const upstream::server_id& aServer,
                     position::term_id aTerm,
                     bool aAccepted,
                     const upstream::server_status& aStatus,
                     clock::time_point aNow) override
  {
    TakeStatus(aServer, aStatus, aNow);
    mPromoter.FenceAnswered(aServer, aTerm, aAccepted, aStatus, aNow);
    Evaluate(aNow);
  }

  void PromoteAnswered(const upstream::server_id& aServer,
                       position::term_id aTerm,
                       bool aAccepted,
                       const upstream::server_status& aStatus,
                       clock::time_point aNow) override
  {
    TakeStatus(aServer, aStatus, aNow);
    mPromoter.PromoteAnswered(aServer, aTerm, aAccepted, aStatus, aNow);
    Evaluate(aNow);
  }

  void FollowAnswered(const upstream::server_id& aServer,
                      position::term_id /*aTerm*/,
                      bool /*aAccepted*/,
                      const upstream::server_status& aStatus,
                      clock::time_point aNow) override
  {
    TakeStatus(aServer, aStatus, aNow);
    mRepair.FollowAnswered(aServer);
    Evaluate(aNow);
  }

  void RecordRead(bool aReached,
                  const store::entry& aEntry,
                  clock::time_point aNow) override
  {
    mReservations.RecordRead(aReached, aEntry, aNow);
    Evaluate(aNow);
  }

  void RecordSwapped(store::swap_outcome aOutcome,
                     clock::time_point aNow) override
  {
    mReservations.RecordSwapped(aOutcome, aNow);
    Evaluate(aNow);
  }

  void Tick(clock::time_point aNow) override { Evaluate(aNow); }

  [[nodiscard]] clock::time_point NextTick() const noexcept override
  {
    const std::array due{ mMonitor.NextTick(),      mDetector.NextTick(),
                          mPromoter.NextTick(),     mRepair.NextTick(),
                          mReservations.NextTick(), mDeferUntil };
    auto next = clock::time_point::max();
    for (const auto time : due) {
      // Times that have passed were handled by the last event and need another
      // one.
      next = time > mNow ? std::min(next, time) : next;
    }
    return next;
  }

  [[nodiscard]] std::vector<action> TakeActions() override
  {
    return std::exchange(mActions, {});
  }

private:
  [[nodiscard]] bool SameServers(const group::description& aGroup) const
  {
    const auto& left = mGroup.members;
    const auto& right = aGroup.members;
    return left.size() == right.size() &&
           std::all_of(right.begin(), right.end(), [this](const auto& aMember) {
             return mMonitor.Find(aMember.id) != nullptr;
           });
  }

  // A response to fence, promote or follow contains the server's status after
  // it.
  void TakeStatus(const upstream::server_id& aServer,
                  const upstream::server_status& aStatus,
                  clock::time_point aNow)
  {
    if (aStatus.term != 0) {
      mMonitor.Answered(aServer, aStatus, aNow, aNow);
    }
  }

  void Evaluate(clock::time_point aNow)
  {
    mNow = std::max(mNow, aNow);
    mMonitor.Tick(mNow, mActions);
    mReservations.ObserveTerm(mMonitor.HighestTerm());
    DeferToHigherTerm();
    mPromoter.Tick(mNow, mActions);
    FindPrimary();
    ReportSuspicion();
    Decide();
    mPromoter.Tick(mNow, mActions);
    mRepair.Tick(mNow, mActions);
    mReservations.Tick(mNow, mActions);
  }

  // On a higher term of another pooler, starts no failover for a bounded time.
  void DeferToHigherTerm()
  {
    const auto highest = mMonitor.HighestTerm();
    if (highest <= mHighestTerm) {
      return;
    }
    mHighestTerm = highest;
    if (highest <= mPromoter.Term()) {
      return;
    }
    mPromoter.Stop();
    const auto quietTime = mSettings.validity + 2 * mSettings.suspectAfter +
                           2 * mSettings.probeInterval * mSettings.rank;
    mDeferUntil = mNow + quietTime;
  }

  void FindPrimary()
  {
    const auto promoted = mPromoter.TakePromoted();
    if (promoted.term > mPrimary.term) {
      Adopt(promoted, true, mNow);
    }
    const auto accepted = mMonitor.AcceptedPrimary();
    if (accepted.term > mPrimary.term) {
      Adopt(accepted, false, mNow);
    }
  }

  void Adopt(const primary_ref& aPrimary,
             bool aIsPromotedHere,
             clock::time_point aNow)
  {
    mPrimary = aPrimary;
    mDeferUntil = {};
    if (mPromoter.Term() < aPrimary.term) {
      mPromoter.Stop();
    }
    mRepair.SetPrimary(aPrimary, aIsPromotedHere);
    const auto delay = kPublishDelay * (mSettings.rank + 1);
    mReservations.Publish(aPrimary, aIsPromotedHere ? aNow : aNow + delay);
    mActions.emplace_back(announce{ aPrimary.term, aPrimary.server });
  }

  void ReportSuspicion()
  {
    primary_ref suspected;
    if (mPrimary.term > 0 && mMonitor.IsUnreachable(mPrimary.server, mNow)) {
      suspected = mPrimary;
    }
    if (suspected != mSuspected) {
      mSuspected = suspected;
      mActions.emplace_back(
        report_suspicion{ { mGroup.name, suspected.term, suspected.server } });
    }
  }

  void Decide()
  {
    const auto found = mDetector.Assess(mMonitor, mPrimary, mNow);
    if (found == cause::kNone) {
      if (mMonitor.IsInForce(mPrimary, mNow)) {
        mPromoter.Cancel();
      }
      const auto at = mPromoter.Step();
      if (at == step::kRankDelay || at == step::kPickTerm) {
        mPromoter.Cancel();
      }
      return;
    }
    if (mPromoter.Step() != step::kIdle || mNow < mDeferUntil) {
      return;
    }
    if (!IsPlanned(found)) {
      mPromoter.Begin(mPrimary, found == cause::kLost, {}, mNow);
      return;
    }
    if (mNow >= mPlannedFrom) {
      mPlannedFrom = mNow + kPlannedPause;
      mPromoter.Begin(
        mPrimary, false, kPlannedRankDelay * mSettings.rank, mNow);
    }
  }

  coordinator_settings mSettings;
  group::description mGroup;
  server_monitor mMonitor;
  detector mDetector;
  term_reservations mReservations;
  promoter mPromoter;
  follower_repair mRepair;
  primary_ref mPrimary;
  primary_ref mSuspected;
  position::term_id mHighestTerm = 0;
  clock::time_point mNow;
  clock::time_point mDeferUntil;
  clock::time_point mPlannedFrom;
  std::vector<action> mActions;
};

} // namespace

std::unique_ptr<coordinator>
MakeCoordinator(const coordinator_settings& aSettings)
{
  return std::make_unique<group_coordinator>(aSettings);
}

} // namespace currantshed::failover
