#include "standin/upstream/statement_runner.hpp"

#include <utility>

#include "standin/upstream/responses.hpp"
#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

sql_error
AbortedTransaction()
{
  return { "25P02", "the transaction has failed; it can only be ended" };
}

} // namespace

void
statement_runner::Fail()
{
  EndTransaction(mTransaction == transaction::kOpen ? transaction::kFailed
                                                    : mTransaction);
}

run_end
statement_runner::RunBegin(const std::string& aSql, std::string& aTarget)
{
  if (mTransaction != transaction::kNone) {
    return FailWith({ "25001", "there is a transaction in progress" });
  }
  mTransaction = transaction::kOpen;
  mImplicit = false;
  mReadOnly = mReadOnlySession || SaysReadOnly(aSql);
  mTerm = mShared.data.Terms().Term();
  PutTag("BEGIN", aTarget);
  return run_end::kDone;
}

run_end
statement_runner::RunCommit(std::string& aTarget)
{
  if (mTransaction == transaction::kOpen) {
    if (auto error = CheckTransaction()) {
      EndTransaction(transaction::kLost);
    }
  }
  if (mTransaction == transaction::kLost) {
    EndTransaction(transaction::kNone);
    return FailWith(StaleTerm(mShared.data.Terms().Term()));
  }
  const bool failed = mTransaction == transaction::kFailed;
  if (mWriting) {
    mWriting = false;
    mShared.data.CommitWrite();
  }
  EndTransaction(transaction::kNone);
  PutTag(failed ? "ROLLBACK" : "COMMIT", aTarget);
  return run_end::kDone;
}

run_end
statement_runner::RunRollback(std::string& aTarget)
{
  EndTransaction(transaction::kNone);
  PutTag("ROLLBACK", aTarget);
  return run_end::kDone;
}

sql_outcome
statement_runner::CheckTransaction()
{
  const auto term = mShared.data.Terms().Term();
  if (mTransaction == transaction::kLost) {
    return StaleTerm(term);
  }
  if (mTransaction == transaction::kFailed) {
    return AbortedTransaction();
  }
  if (mTransaction == transaction::kOpen && !mReadOnly && mTerm != term) {
    return StaleTerm(term);
  }
  return std::nullopt;
}

sql_outcome
statement_runner::Sync()
{
  if (!mImplicit || mTransaction == transaction::kNone) {
    return std::nullopt;
  }
  mImplicit = false;
  const bool lost = mTransaction == transaction::kLost;
  if (mWriting) {
    mWriting = false;
    mShared.data.CommitWrite();
  }
  EndTransaction(transaction::kNone);
  if (lost) {
    return StaleTerm(mShared.data.Terms().Term());
  }
  return std::nullopt;
}

char
statement_runner::TransactionStatus() const noexcept
{
  switch (mTransaction) {
    case transaction::kNone:
      return 'I';
    case transaction::kOpen:
      return 'T';
    default:
      return 'E';
  }
}

// Rolls back uncommitted changes and releases the write lock and the slot.
void
statement_runner::EndTransaction(transaction aState)
{
  mTransaction = aState;
  if (std::exchange(mWriting, false)) {
    mShared.data.RollbackWrite();
  }
  if (std::exchange(mHasLock, false)) {
    mShared.writeLock.Release();
  }
  ReleaseSlot();
}

void
statement_runner::ReleaseSlot()
{
  mServed = false;
  if (std::exchange(mHasSlot, false)) {
    mShared.slots.Release();
  }
}

void
statement_runner::Granted()
{
  if (mAwaited == &mShared.slots) {
    mHasSlot = true;
  } else {
    mHasLock = true;
  }
  mAwaited = nullptr;
  mResume();
}

void
statement_runner::Revoked()
{
  mWriting = false;
  mTransaction = transaction::kLost;
  if (std::exchange(mHasLock, false)) {
    mShared.writeLock.Release();
  }
}

} // namespace currantshed::standin::postgres
