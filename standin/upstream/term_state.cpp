#include "standin/upstream/term_state.hpp"

#include <utility>

namespace currantshed::standin::postgres {

term_state::term_state(term_id aTerm,
                       server_role aRole,
                       primary_address aPrimary)
  : mTerm(aTerm)
  , mRole(aRole)
  , mPrimary(std::move(aPrimary))
{
}

term_verdict
term_state::Fence(term_id aTerm)
{
  if (aTerm == mTerm && mRole == server_role::kFenced) {
    return term_verdict::kSame;
  }
  if (aTerm <= mTerm) {
    return term_verdict::kRefused;
  }
  mTerm = aTerm;
  mRole = server_role::kFenced;
  mPrimary = {};
  return term_verdict::kChanged;
}

term_verdict
term_state::Promote(term_id aTerm)
{
  if (aTerm == 0 || aTerm != mTerm || mRole == server_role::kReplica) {
    return term_verdict::kRefused;
  }
  if (mRole == server_role::kPrimary) {
    return term_verdict::kSame;
  }
  mRole = server_role::kPrimary;
  return term_verdict::kChanged;
}

term_verdict
term_state::Follow(term_id aTerm, const primary_address& aPrimary)
{
  if (aTerm < mTerm || (aTerm == mTerm && mRole == server_role::kPrimary)) {
    return term_verdict::kRefused;
  }
  if (aTerm == mTerm && mRole == server_role::kReplica &&
      aPrimary == mPrimary) {
    return term_verdict::kSame;
  }
  mTerm = aTerm;
  mRole = server_role::kReplica;
  mPrimary = aPrimary;
  return term_verdict::kChanged;
}

bool
term_state::TakesRecordsOf(term_id aTerm) const noexcept
{
  return mRole == server_role::kReplica && aTerm == mTerm;
}

term_id
term_state::Term() const noexcept
{
  return mTerm;
}

server_role
term_state::Role() const noexcept
{
  return mRole;
}

const primary_address&
term_state::Primary() const noexcept
{
  return mPrimary;
}

} // namespace currantshed::standin::postgres
