#include "standin/upstream/store.hpp"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace currantshed::standin::postgres {

namespace {

// Maximum number of records applied per call, so that a long replay doesn't
// block other work.
constexpr int kApplyBatch = 500;
// Storage time of records that are applied without lag.
constexpr clock::time_point kNoLag{};

bool
IgnoreRow(const row_view& /*aRow*/)
{
  return true;
}

} // namespace

store::store(durable_state aState, journal& aJournal, store_listener& aListener)
  : mJournal(aJournal)
  , mListener(aListener)
  , mTerms(std::move(aState.terms))
  , mLog(std::move(aState.log))
  , mCommitted(std::make_unique<database>())
{
  mStoredAt.resize(mLog.Last().index, kNoLag);
  ApplyAll();
  if (mTerms.Role() == server_role::kPrimary) {
    mWorking.CopyFrom(*mCommitted);
  }
}

void
store::StartAsFirstPrimary(const std::vector<std::string>& aSchema)
{
  mTerms = term_state(1, server_role::kPrimary, {});
  mJournal.WriteTerms(mTerms);
  log_record first{ 1, 0, {} };
  for (const auto& sql : aSchema) {
    first.statements.push_back({ sql, {} });
  }
  AppendOwn(std::move(first));
  mWorking.CopyFrom(*mCommitted);
}

sql_outcome
store::Fence(term_id aTerm)
{
  const auto verdict = mTerms.Fence(aTerm);
  if (verdict == term_verdict::kRefused) {
    return StaleTerm(mTerms.Term());
  }
  if (verdict == term_verdict::kChanged) {
    ChangeTerms();
  }
  return std::nullopt;
}

sql_outcome
store::Promote(term_id aTerm)
{
  const auto verdict = mTerms.Promote(aTerm);
  if (verdict == term_verdict::kRefused) {
    return StaleTerm(mTerms.Term());
  }
  if (verdict == term_verdict::kChanged) {
    ApplyAll();
    AppendOwn({ aTerm, 0, {} });
    mWorking.CopyFrom(*mCommitted);
    ChangeTerms();
  }
  return std::nullopt;
}

sql_outcome
store::Follow(term_id aTerm,
              const primary_address& aPrimary,
              clock::time_point aNow)
{
  const auto verdict = mTerms.Follow(aTerm, aPrimary);
  if (verdict == term_verdict::kRefused) {
    return StaleTerm(mTerms.Term());
  }
  if (verdict == term_verdict::kChanged) {
    mLastHeard = aNow;
    ChangeTerms();
  }
  return std::nullopt;
}

void
store::ChangeTerms()
{
  mJournal.WriteTerms(mTerms);
  if (auto* owner = std::exchange(mOwner, nullptr)) {
    mWorking.Rollback();
    owner->Revoked();
  }
  mListener.TermsChanged();
}

server_status
store::Status(clock::time_point aNow) const
{
  server_status status;
  status.term = mTerms.Term();
  status.role = mTerms.Role();
  status.stored = mLog.Last();
  status.applied = mLog.PositionAt(mApplied);
  if (status.role == server_role::kReplica) {
    status.sincePrimary =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mLastHeard);
  }
  return status;
}

const term_state&
store::Terms() const noexcept
{
  return mTerms;
}

const record_log&
store::Log() const noexcept
{
  return mLog;
}

database&
store::Committed() noexcept
{
  return *mCommitted;
}

database&
store::Working() noexcept
{
  return mWorking;
}

sql_outcome
store::BeginWrite(write_owner& aOwner, std::uint64_t aUnixMs)
{
  if (mTerms.Role() != server_role::kPrimary) {
    return ReadOnly();
  }
  mOwner = &aOwner;
  mOpen = { mTerms.Term(), aUnixMs, {} };
  mWorking.SetTime(aUnixMs);
  mWorking.Begin();
  return std::nullopt;
}

sql_outcome
store::Write(const statement& aStatement,
             row_sink aSink,
             std::uint64_t& aAffected)
{
  const statement_shape* shape = nullptr;
  if (auto error = mWorking.Describe(aStatement.sql, shape)) {
    return error;
  }
  const bool changes = shape->changesData;
  if (auto error =
        mWorking.Run(aStatement.sql, aStatement.parameters, aSink, aAffected)) {
    return error;
  }
  if (changes) {
    mOpen.statements.push_back(aStatement);
  }
  return std::nullopt;
}

void
store::CommitWrite()
{
  mOwner = nullptr;
  mWorking.Commit();
  if (!mOpen.statements.empty()) {
    AppendOwn(std::move(mOpen));
    mListener.Appended();
  }
}

void
store::RollbackWrite()
{
  mOwner = nullptr;
  mWorking.Rollback();
}

void
store::AppendOwn(log_record aRecord)
{
  mJournal.WriteRecord(aRecord);
  mLog.Append(std::move(aRecord));
  mStoredAt.push_back(kNoLag);
  ApplyAll();
}

void
store::HeardFromPrimary(clock::time_point aNow)
{
  mLastHeard = aNow;
}

void
store::Align(log_index aCommon)
{
  const auto last = mLog.Last().index;
  if (aCommon >= last) {
    return;
  }
  mJournal.WriteTruncation(aCommon);
  mLog.Truncate(aCommon);
  if (aCommon >= mApplied) {
    mStoredAt.resize(aCommon - mApplied);
    return;
  }
  // Truncated records had already been applied: the data is rebuilt from the
  // log.
  mCommitted = std::make_unique<database>();
  mApplied = 0;
  mStoredAt.assign(aCommon, kNoLag);
}

bool
store::Store(term_id aTerm, log_record aRecord, clock::time_point aNow)
{
  if (!mTerms.TakesRecordsOf(aTerm)) {
    return false;
  }
  mJournal.WriteRecord(aRecord);
  mLog.Append(std::move(aRecord));
  mStoredAt.push_back(aNow);
  return true;
}

std::optional<clock::time_point>
store::Apply(clock::time_point aNow, clock::duration aLag)
{
  for (int count = 0; count < kApplyBatch; ++count) {
    if (mStoredAt.empty()) {
      return std::nullopt;
    }
    const auto due = mStoredAt.front() + aLag;
    if (due > aNow) {
      return due;
    }
    ApplyNext();
  }
  return aNow;
}

void
store::ApplyAll()
{
  while (!mStoredAt.empty()) {
    ApplyNext();
  }
}

void
store::ApplyNext()
{
  const auto& record = mLog.At(mApplied + 1);
  mCommitted->SetTime(record.beganMs);
  mCommitted->Begin();
  for (const auto& change : record.statements) {
    std::uint64_t affected = 0;
    const auto error =
      mCommitted->Run(change.sql, change.parameters, IgnoreRow, affected);
    if (error) {
      std::cerr << "store: replay gave a different result: " << error->message
                << '\n';
      std::exit(EXIT_FAILURE);
    }
  }
  mCommitted->Commit();
  mStoredAt.pop_front();
  ++mApplied;
}

} // namespace currantshed::standin::postgres
