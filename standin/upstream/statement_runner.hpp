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

/// Objects shared by all connections of a server.
struct shared_parts
{
  store& data;
  permits& slots;
  /// Lock held by the one open write transaction.
  permits& writeLock;
  std::chrono::microseconds serviceTime;
  std::uint64_t statementsRun = 0;
};

/// Result of one attempt to run a statement.
enum class run_end
{
  kDone,
  /// The statement waits for a slot, a lock or its service time; run it again
  /// when the runner calls back.
  kWait,
  kFailed,
};

/// Runs the statements of one connection and holds its transaction. A
/// transaction that may write takes the write lock with its first data
/// statement. A data statement waits first for the lock, then for a slot, which
/// it holds for its service time.
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

  /// Rolls back an open transaction and cancels all waits; must be called
  /// before destruction.
  void Close();

  /// Refuses all changes from now on.
  void SetReadOnly();

  /// Appends the columns that a statement will return.
  [[nodiscard]] sql_outcome Describe(const std::string& aSql,
                                     bool aWithParameters,
                                     std::string& aTarget);
  /// Runs a statement and appends its rows and command tag.
  [[nodiscard]] run_end Run(const statement& aStatement, std::string& aTarget);
  /// The error of the last failed statement.
  [[nodiscard]] const sql_error& Error() const noexcept;

  /// Called when the connection rejects a message: fails a transaction in
  /// progress.
  void Fail();
  /// Ends the implicit transaction of statements outside an explicit one.
  [[nodiscard]] sql_outcome Sync();
  /// The transaction status byte of the protocol: I for none, T for an open
  /// transaction, E for a failed one.
  [[nodiscard]] char TransactionStatus() const noexcept;

  void Granted() override;
  void Revoked() override;

private:
  enum class transaction
  {
    kNone,
    kOpen,
    kFailed,
    /// Rolled back because the term changed.
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
  /// The permits being waited for, or null.
  permits* mAwaited = nullptr;
  sql_error mError;
  /// Lets a timer handler detect that the runner was destroyed.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace currantshed::standin::postgres

#endif
