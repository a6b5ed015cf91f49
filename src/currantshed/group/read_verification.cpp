#include "currantshed/group/read_verification.hpp"

namespace currantshed::group {

namespace {

using confirm::status_tracker;
using upstream::server_role;
using upstream::server_status;

// Whether nothing that a statement saw between the two statuses can have been
// dropped before the second one. A server drops records only when it begins to
// follow a new primary; its log then ends lower, or in a later term.
bool
HasKeptHistory(const server_status& aBefore,
               const server_status& aAfter,
               const status_tracker& aTracker)
{
  if (aBefore.term != aAfter.term || aAfter.applied < aBefore.applied ||
      aAfter.stored < aBefore.stored) {
    return false;
  }
  return aBefore.stored.term == aAfter.stored.term ||
         aTracker.WasConfirmed(aBefore.stored);
}

bool
IsFreshEnough(const request& aRequest,
              const server_status& aBefore,
              const status_tracker& aTracker,
              clock::time_point aNow)
{
  const auto asOf = aTracker.Samples().CurrentAsOf(aBefore.applied);
  return asOf && aNow - *asOf <= aRequest.work.maxStaleness;
}

read_verdict
VerifyFreshRead(const read_evidence& aEvidence,
                const status_tracker& aTracker,
                clock::time_point aNow)
{
  if (aEvidence.before.role != server_role::kPrimary ||
      aEvidence.after.role != server_role::kPrimary) {
    return read_verdict::kBad;
  }
  if (aTracker.IsHeldByMajority(
        aEvidence.after.applied, aEvidence.sentAt, aNow)) {
    return read_verdict::kGood;
  }
  const auto term = aTracker.Term();
  return term && term->term > aEvidence.after.term ? read_verdict::kBad
                                                   : read_verdict::kUnconfirmed;
}

} // namespace

bool
IsFresh(const request& aRequest) noexcept
{
  return aRequest.fresh ||
         aRequest.work.maxStaleness <= std::chrono::milliseconds{ 0 };
}

read_verdict
VerifyRead(const request& aRequest,
           const read_evidence& aEvidence,
           const status_tracker& aTracker,
           clock::time_point aNow)
{
  const auto& before = aEvidence.before;
  const auto& after = aEvidence.after;
  if (!HasKeptHistory(before, after, aTracker) ||
      before.applied < aRequest.floor) {
    return read_verdict::kBad;
  }
  if (IsFresh(aRequest)) {
    return VerifyFreshRead(aEvidence, aTracker, aNow);
  }
  if (!IsFreshEnough(aRequest, before, aTracker, aNow)) {
    return read_verdict::kBad;
  }
  if (aTracker.WasConfirmed(after.applied)) {
    return read_verdict::kGood;
  }
  const auto term = aTracker.Term();
  return term && term->term > after.applied.term ? read_verdict::kBad
                                                 : read_verdict::kUnconfirmed;
}

} // namespace currantshed::group
