#ifndef CURRANTSHED_UPSTREAM_DIALECT_HPP
#define CURRANTSHED_UPSTREAM_DIALECT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "currantshed/clock/time.hpp"
#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/statement.hpp"
#include "currantshed/upstream/status.hpp"

namespace currantshed::upstream {

/// The statements beyond ordinary SQL that this system sends to the servers of
/// a database group, and what it requires of these servers. Servers with other
/// control statements need another implementation of this interface.
///
/// Requirements on every server of a group:
/// - It holds a term that never decreases and survives a restart.
/// - Its log contains committed changes only, in commit order; each record
///   carries the term in which it was written.
/// - The effect of a statement becomes visible to later statements on the same
///   server when the reported `applied` position covers it, and never before it
///   is part of that server's log.
/// - It answers the status statement at any time, also when all of its slots
///   are taken or a lock is held, and inside a transaction or a pipeline.
class dialect
{
public:
  virtual ~dialect() = default;

  /// Queries the status of a server without side effects. The answer describes
  /// the server at one moment between receipt and answer. A status before a
  /// read in the same pipeline reports a position that the read covers; one
  /// after a commit in the same pipeline reports a position that covers the
  /// commit.
  [[nodiscard]] virtual statement Status() const = 0;

  /// Fences a server at a term above its own. Required: once the server
  /// answers, durably, it commits no change and stores no log record of a lower
  /// term, and has rolled back open transactions that changed data. A term at
  /// or below its own is rejected with kStaleTermSqlState, except for the term
  /// at which it is already fenced, which it accepts again.
  [[nodiscard]] virtual statement Fence(position::term_id aTerm) const = 0;

  /// Makes a server that is fenced at this term its primary. Required: the
  /// server first applies all records it has stored, then writes a record that
  /// opens the term, then accepts writes. Idempotent for the primary of the
  /// term.
  [[nodiscard]] virtual statement Promote(position::term_id aTerm) const = 0;

  /// Makes a server follow the primary of a term at or above its own. Required:
  /// the server truncates records that the primary's history lacks, then stores
  /// and applies the primary's records in order. The primary of that term
  /// rejects the statement.
  [[nodiscard]] virtual statement Follow(position::term_id aTerm,
                                         std::string_view aAddress,
                                         std::uint16_t aPort) const = 0;

  /// Opens a transaction. Required: its changes become visible atomically at
  /// its commit, or never. A read-only transaction rejects every change; each
  /// of its statements may see a newer state of the data than the previous one.
  [[nodiscard]] virtual statement Begin(bool aReadOnly) const = 0;

  /// Commits a transaction. Required: the commit is acknowledged only after the
  /// change is in the server's log, and fails if the server's term has changed
  /// since the transaction began.
  [[nodiscard]] virtual statement Commit() const = 0;

  [[nodiscard]] virtual statement Rollback() const = 0;

  /// Records, within the transaction of a change, that the change was executed.
  /// Required: the key is unique over all transactions, so a second transaction
  /// with the same key waits for the first to end and fails with
  /// kUniqueViolationSqlState if the first committed.
  [[nodiscard]] virtual statement RecordOutcome(
    std::string_view aKey,
    clock::wall_time aIssued,
    std::string_view aDigest) const = 0;

  /// Marks a key as void unless it is already recorded. Like RecordOutcome it
  /// waits for a transaction that holds the key; if that transaction commits,
  /// it changes nothing (no row is affected). ReadOutcome in the same
  /// transaction then tells which of the two happened.
  [[nodiscard]] virtual statement VoidOutcome(
    std::string_view aKey,
    clock::wall_time aIssued,
    std::string_view aDigest) const = 0;

  /// Reads `state` and `digest` of a key: one row, or none.
  [[nodiscard]] virtual statement ReadOutcome(std::string_view aKey) const = 0;

  /// Parses the answer to Status, Fence, Promote or Follow; none if it does not
  /// have the expected format.
  [[nodiscard]] virtual std::optional<server_status> ReadStatus(
    const result_set& aAnswer) const = 0;
};

/// SQLSTATE of a statement rejected because of the server's term.
inline constexpr std::string_view kStaleTermSqlState = "CS001";
/// SQLSTATE of a change on a read-only server or transaction.
inline constexpr std::string_view kReadOnlySqlState = "25006";
/// SQLSTATE of a connection above the server's connection limit.
inline constexpr std::string_view kTooManyConnectionsSqlState = "53300";
/// SQLSTATE of a unique key that already exists.
inline constexpr std::string_view kUniqueViolationSqlState = "23505";
/// SQLSTATE of an indeterminate reply whose answer exceeded its size limit.
inline constexpr std::string_view kAnswerLimitSqlState = "54000";
/// SQLSTATE of a text that cannot be sent, such as one with a zero byte.
inline constexpr std::string_view kUnsendableTextSqlState = "22021";

/// The `state` of an outcome whose change was executed.
inline constexpr std::string_view kOutcomeDone = "done";
/// The `state` of an outcome whose change can no longer be executed.
inline constexpr std::string_view kOutcomeVoid = "void";

/// The statements of docs/PROTOCOLS.md, for servers with PostgreSQL's wire
/// protocol.
[[nodiscard]] std::unique_ptr<dialect>
MakePostgresDialect();

} // namespace currantshed::upstream

#endif
