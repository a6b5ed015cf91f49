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

/// What is assumed of a database group, gathered in one place, as the
/// statements that a server understands beyond ordinary SQL. A deployment
/// whose servers offer something else gets another implementation.
///
/// Assumed of every server of a group:
/// - It holds a term that never goes down and that survives a restart.
/// - Its log holds committed changes only, in the order of their commits; each
///   record carries the term in which it was written.
/// - A statement's effect is visible to later statements on the same server
///   once the log position that `applied` tells covers it, never before it is
///   part of that server's log.
/// - It answers the status question at any time, also when all of its slots
///   are taken or a lock is held, and inside a transaction or a pipeline.
class dialect
{
public:
  virtual ~dialect() = default;

  /// Asks a server about itself and changes nothing. The answer describes
  /// the server at one moment between receipt and answer. A status before a
  /// read in the same pipeline tells a position that the read covers; one
  /// after a commit in the same pipeline tells a position that covers the
  /// commit.
  [[nodiscard]] virtual statement Status() const = 0;

  /// Asks a server to accept a term above its own. Assumed: once it answers,
  /// durably so, the server commits no change and stores no log record of a
  /// lower term, and has rolled back open transactions that changed data; a
  /// term at or below its own is refused with kStaleTermSqlState, but for the
  /// very term that it was fenced at, which it accepts again.
  [[nodiscard]] virtual statement Fence(position::term_id aTerm) const = 0;

  /// Makes a server that was fenced at this very term its primary. Assumed:
  /// it first applies all that it has stored, then writes a record of the
  /// term that opens it, then takes writes. Asking the primary of the term
  /// again changes nothing.
  [[nodiscard]] virtual statement Promote(position::term_id aTerm) const = 0;

  /// Tells a server the primary of a term at or above its own. Assumed: it
  /// drops what the primary's history lacks, then stores and applies the
  /// primary's records in order; the primary of that term refuses.
  [[nodiscard]] virtual statement Follow(position::term_id aTerm,
                                         std::string_view aAddress,
                                         std::uint16_t aPort) const = 0;

  /// Opens a transaction. Assumed: its changes become visible all together
  /// at its commit, or never. A read-only one refuses every change; each of
  /// its statements may see a newer state of the data than the one before.
  [[nodiscard]] virtual statement Begin(bool aReadOnly) const = 0;

  /// Ends a transaction. Assumed: answered as done only after the change is
  /// in the server's log, and refused when the server's term has changed
  /// since the transaction began.
  [[nodiscard]] virtual statement Commit() const = 0;

  [[nodiscard]] virtual statement Rollback() const = 0;

  /// Notes, within a change's own transaction, that the change ran. Assumed:
  /// the key is unique over all transactions, so a second one with it waits
  /// for the first to end, then fails with kUniqueViolationSqlState if that one
  /// committed.
  [[nodiscard]] virtual statement RecordOutcome(
    std::string_view aKey,
    clock::wall_time aIssued,
    std::string_view aDigest) const = 0;

  /// Makes a key void unless it is there already; waits like RecordOutcome
  /// for a transaction that holds the key, and changes nothing (no row is
  /// affected) if that one commits. ReadOutcome in the same transaction then
  /// tells which of both it was.
  [[nodiscard]] virtual statement VoidOutcome(
    std::string_view aKey,
    clock::wall_time aIssued,
    std::string_view aDigest) const = 0;

  /// Reads `state` and `digest` of a key: one row, or none.
  [[nodiscard]] virtual statement ReadOutcome(std::string_view aKey) const = 0;

  /// Reads the answer to Status, Fence, Promote or Follow; none when it is
  /// not in the expected form.
  [[nodiscard]] virtual std::optional<server_status> ReadStatus(
    const result_set& aAnswer) const = 0;
};

/// SQLSTATE of a refusal because of the server's term.
inline constexpr std::string_view kStaleTermSqlState = "CS001";
/// SQLSTATE of a change on a server or transaction that is read only.
inline constexpr std::string_view kReadOnlySqlState = "25006";
/// SQLSTATE of a connection over the server's limit.
inline constexpr std::string_view kTooManyConnectionsSqlState = "53300";
/// SQLSTATE of a key that is there already.
inline constexpr std::string_view kUniqueViolationSqlState = "23505";
/// SQLSTATE that a torn reply carries when the answer passed its size limit.
inline constexpr std::string_view kAnswerLimitSqlState = "54000";
/// SQLSTATE of a text that can't be sent, such as one with a zero byte.
inline constexpr std::string_view kUnsendableTextSqlState = "22021";

/// The `state` of an outcome whose change ran.
inline constexpr std::string_view kOutcomeDone = "done";
/// The `state` of an outcome whose change can never run.
inline constexpr std::string_view kOutcomeVoid = "void";

/// The statements of docs/PROTOCOLS.md, for servers with PostgreSQL's
/// protocol.
[[nodiscard]] std::unique_ptr<dialect>
MakePostgresDialect();

} // namespace currantshed::upstream

#endif
