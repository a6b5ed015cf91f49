#include "standin/upstream/statement_runner.hpp"

#include <cstdint>
#include <utility>

#include <absl/strings/numbers.h>

#include "standin/upstream/responses.hpp"
#include "standin/upstream/sql_text.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr std::size_t kResultLimit = std::size_t{ 64 } << 20U;

std::uint64_t
UnixNow()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Reads a number from a statement's parameters; zero, which is neither a valid
// term nor a valid port, for anything else.
std::uint64_t
Number(const statement& aStatement, std::size_t aIndex)
{
  std::uint64_t number = 0;
  if (aIndex < aStatement.parameters.size() && aStatement.parameters[aIndex] &&
      absl::SimpleAtoi(*aStatement.parameters[aIndex], &number)) {
    return number;
  }
  return 0;
}

primary_address
Address(const statement& aStatement)
{
  if (aStatement.parameters.size() < 3) {
    return {};
  }
  return { aStatement.parameters[1].value_or(""),
           static_cast<std::uint16_t>(Number(aStatement, 2)) };
}

} // namespace

statement_runner::statement_runner(
  shared_parts& aShared,
  const boost::asio::any_io_executor& aExecutor,
  std::function<void()> aResume)
  : mShared(aShared)
  , mResume(std::move(aResume))
  , mService(aExecutor)
{
}

void
statement_runner::Close()
{
  if (auto* awaited = std::exchange(mAwaited, nullptr)) {
    awaited->Forget(*this);
  }
  mService.cancel();
  EndTransaction(transaction::kNone);
}

void
statement_runner::SetReadOnly()
{
  mReadOnlySession = true;
}

database&
statement_runner::Data()
{
  return mWriting ? mShared.data.Working() : mShared.data.Committed();
}

sql_outcome
statement_runner::Describe(const std::string& aSql,
                           bool aWithParameters,
                           std::string& aTarget)
{
  const auto kind = KindOf(aSql);
  statement_shape other;
  const statement_shape* shape = &other;
  if (IsAboutServer(kind)) {
    other.columns = StatusColumns();
  } else if (kind == statement_kind::kData) {
    if (auto error = CheckTransaction()) {
      return error;
    }
    if (auto error = Data().Describe(aSql, shape)) {
      return error;
    }
  }
  if (aWithParameters) {
    PutParameters(shape->parameters, aTarget);
  }
  PutColumns(shape->columns, aTarget);
  return std::nullopt;
}

run_end
statement_runner::Run(const statement& aStatement, std::string& aTarget)
{
  const auto kind = KindOf(aStatement.sql);
  if (IsAboutServer(kind)) {
    return RunAboutServer(kind, aStatement, aTarget);
  }
  switch (kind) {
    case statement_kind::kEmpty:
      PutEmpty('I', aTarget);
      return run_end::kDone;
    case statement_kind::kBegin:
      return RunBegin(aStatement.sql, aTarget);
    case statement_kind::kCommit:
      return RunCommit(aTarget);
    case statement_kind::kRollback:
      return RunRollback(aTarget);
    case statement_kind::kSet:
      PutTag("SET", aTarget);
      return run_end::kDone;
    default:
      return RunData(aStatement, aTarget);
  }
}

const sql_error&
statement_runner::Error() const noexcept
{
  return mError;
}

run_end
statement_runner::FailWith(sql_error aError)
{
  mError = std::move(aError);
  Fail();
  return run_end::kFailed;
}

run_end
statement_runner::RunAboutServer(statement_kind aKind,
                                 const statement& aStatement,
                                 std::string& aTarget)
{
  const auto now = std::chrono::steady_clock::now();
  const auto term = Number(aStatement, 0);
  sql_outcome outcome;
  if (aKind == statement_kind::kFence) {
    outcome = mShared.data.Fence(term);
  } else if (aKind == statement_kind::kPromote) {
    outcome = mShared.data.Promote(term);
  } else if (aKind == statement_kind::kFollow) {
    outcome = mShared.data.Follow(term, Address(aStatement), now);
  }
  if (outcome) {
    return FailWith(std::move(*outcome));
  }
  PutStatus(mShared.data.Status(now), aTarget);
  PutTag("SELECT 1", aTarget);
  return run_end::kDone;
}

sql_outcome
statement_runner::NeedsLock(const std::string& aSql, bool& aNeeds)
{
  aNeeds = false;
  const auto role = mShared.data.Terms().Role();
  if (mReadOnlySession || role != server_role::kPrimary) {
    return std::nullopt;
  }
  if (mTransaction == transaction::kOpen) {
    aNeeds = !mReadOnly;
    return std::nullopt;
  }
  const statement_shape* shape = nullptr;
  if (auto error = mShared.data.Committed().Describe(aSql, shape)) {
    return error;
  }
  aNeeds = shape->changesData;
  return std::nullopt;
}

sql_outcome
statement_runner::StartWriting()
{
  if (mTransaction == transaction::kNone) {
    mTransaction = transaction::kOpen;
    mImplicit = true;
    mReadOnly = false;
    mTerm = mShared.data.Terms().Term();
  }
  if (auto error = mShared.data.BeginWrite(*this, UnixNow())) {
    return error;
  }
  mWriting = true;
  return std::nullopt;
}

// Whether the statement holds a slot and its service time has passed.
bool
statement_runner::IsServed()
{
  if (!mHasSlot) {
    mHasSlot = mShared.slots.Take(*this);
    if (!mHasSlot) {
      mAwaited = &mShared.slots;
      return false;
    }
  }
  if (mShared.serviceTime.count() == 0 || mServed) {
    return true;
  }
  mService.expires_after(mShared.serviceTime);
  const std::weak_ptr<bool> alive = mAlive;
  mService.async_wait([this, alive](boost::system::error_code aError) {
    if (!aError && !alive.expired()) {
      mServed = true;
      mResume();
    }
  });
  return false;
}

run_end
statement_runner::RunData(const statement& aStatement, std::string& aTarget)
{
  if (auto error = CheckTransaction()) {
    return FailWith(std::move(*error));
  }
  bool needsLock = false;
  if (auto error = NeedsLock(aStatement.sql, needsLock)) {
    return FailWith(std::move(*error));
  }
  if (needsLock && !mHasLock) {
    mHasLock = mShared.writeLock.Take(*this);
    if (!mHasLock) {
      mAwaited = &mShared.writeLock;
      return run_end::kWait;
    }
  }
  if (needsLock && !mWriting) {
    if (auto error = StartWriting()) {
      return FailWith(std::move(*error));
    }
  }
  if (!IsServed()) {
    return run_end::kWait;
  }
  auto outcome = Execute(aStatement, aTarget);
  ReleaseSlot();
  if (outcome) {
    return FailWith(std::move(*outcome));
  }
  return run_end::kDone;
}

sql_outcome
statement_runner::Execute(const statement& aStatement, std::string& aTarget)
{
  const auto limit = aTarget.size() + kResultLimit;
  std::uint64_t rows = 0;
  std::uint64_t affected = 0;
  const auto sink = [&](const row_view& aRow) {
    ++rows;
    PutRow(aRow, aTarget);
    return aTarget.size() <= limit;
  };
  ++mShared.statementsRun;
  auto outcome = mWriting ? mShared.data.Write(aStatement, sink, affected)
                          : Read(aStatement, sink, affected);
  if (!outcome) {
    PutTag(DataTag(aStatement.sql, rows, affected), aTarget);
  }
  return outcome;
}

sql_outcome
statement_runner::Read(const statement& aStatement,
                       row_sink aSink,
                       std::uint64_t& aAffected)
{
  auto& data = mShared.data.Committed();
  const statement_shape* shape = nullptr;
  if (auto error = data.Describe(aStatement.sql, shape)) {
    return error;
  }
  if (shape->changesData) {
    return ReadOnly();
  }
  data.SetTime(UnixNow());
  return data.Run(aStatement.sql, aStatement.parameters, aSink, aAffected);
}

} // namespace currantshed::standin::postgres
