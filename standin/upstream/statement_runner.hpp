#ifndef CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_RUNNER_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_STATEMENT_RUNNER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "standin/upstream/permits.hpp"
#include "standin/upstream/statement_kind.hpp"
#include "standin/upstream/store.hpp"

namespace currantshed::standin::postgres {

/// What all connections of a server share.
struct shared_parts
{
  store& data;
  permits& slots;
  /// The right to have the one open write transaction.
  permits& writeLock;
  std::chrono::microseconds serviceTime;
  std::uint64_t statementsRun = 0;
};

/// How a statement ended for now.
enum class run_end
{
  kDone,
  /// It waits for a slot, a lock or its time of service: to be run again
  /// once the runner says so.
  kWait,
  kFailed,
};

/// Runs the statements of one connection and keeps its transaction. A
/// transaction that may write takes the write lock with its first statement
/// on data. A statement on data waits for the lock first, then for a slot,
/// which it keeps for its time of service.
class statement_runner
  : public permit_waiter
  , public write_owner
{
public:
  statement_runner(shared_parts& aShared,
                   const boost::asio::any_io_executor& aExecutor,
                   std::function<void()> aResume);
  statement_runner(const statement_runner&) = delete;
  statement_runner& operator=(const statement_runner&) = delete;
  ~statement_runner() override = default;

  /// Ends what is open, and waits for nothing any more; comes before the
  /// destruction.
  void Close();

  /// Refuses every change from now on.
  void SetReadOnly();

  /// Appends the columns that a statement will answer with.
  [[nodiscard]] sql_outcome Describe(const std::string& aSql,
                                     bool aWithParameters,
                                     std::string& aTarget);
  /// Runs a statement and appends rows and tag.
  [[nodiscard]] run_end Run(const statement& aStatement, std::string& aTarget);
  /// Why the last statement failed.
  [[nodiscard]] const sql_error& Error() const noexcept;

  /// The connection refused a message: a transaction in progress fails.
  void Fail();
  /// Ends the transaction of statements outside one of their own.
  [[nodiscard]] sql_outcome Sync();
  /// I for none, T for an open transaction, E for a failed one.
  [[nodiscard]] char TransactionStatus() const noexcept;

  void Granted() override;
  void Revoked() override;

private:
  enum class transaction
  {
    kNone,
    kOpen,
    kFailed,
    /// Rolled back because of a new term.
    kLost,
  };

  run_end FailWith(sql_error aError);
  [[nodiscard]] run_end RunAboutServer(statement_kind aKind,
                                       const statement& aStatement,
                                       std::string& aTarget);
  [[nodiscard]] run_end RunBegin(const std::string& aSql, std::string& aTarget);
  [[nodiscard]] run_end RunCommit(std::string& aTarget);
  [[nodiscard]] run_end RunRollback(std::string& aTarget);
  [[nodiscard]] run_end RunData(const statement& aStatement,
                                std::string& aTarget);
  [[nodiscard]] sql_outcome CheckTransaction();
  [[nodiscard]] sql_outcome NeedsLock(const std::string& aSql, bool& aNeeds);
  [[nodiscard]] sql_outcome StartWriting();
  [[nodiscard]] bool IsServed();
  [[nodiscard]] sql_outcome Execute(const statement& aStatement,
                                    std::string& aTarget);
  [[nodiscard]] sql_outcome Read(const statement& aStatement,
                                 row_sink aSink,
                                 std::uint64_t& aAffected);
  void EndTransaction(transaction aState);
  void ReleaseSlot();
  [[nodiscard]] database& Data();

  shared_parts& mShared;
  std::function<void()> mResume;
  boost::asio::steady_timer mService;
  bool mReadOnlySession = false;
  transaction mTransaction = transaction::kNone;
  bool mImplicit = false;
  bool mReadOnly = false;
  term_id mTerm = 0;
  bool mHasLock = false;
  bool mWriting = false;
  bool mHasSlot = false;
  bool mServed = false;
  /// Which permit is waited for, if any.
  permits* mAwaited = nullptr;
  sql_error mError;
  /// Tells a handler of the timer that the runner is gone.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::standin::postgres

#endif
