#ifndef CURRANTSHED_STANDIN_UPSTREAM_LOG_HPP
#define CURRANTSHED_STANDIN_UPSTREAM_LOG_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantshed/position/log_position.hpp"
#include "currantshed/upstream/statement.hpp"

namespace currantshed::standin::postgres {

using currantshed::upstream::statement;
using position::log_index;
using position::log_position;
using position::term_id;

/// One committed transaction: the statements that changed data, in order. A
/// record without statements starts a term.
struct log_record
{
  term_id term = 0;
  /// Wall-clock time of the transaction's start, in milliseconds since the Unix
  /// epoch, which its time functions return.
  std::uint64_t beganMs = 0;
  std::vector<statement> statements;
};

/// Consecutive records of one term.
struct term_run
{
  term_id term = 0;
  log_index first = 0;

  [[nodiscard]] friend bool operator==(const term_run&,
                                       const term_run&) = default;
};

/// Summary of a log with which two servers find the point where their histories
/// diverge: the terms in it, and its end.
struct log_summary
{
  std::vector<term_run> runs;
  log_index last = 0;

  /// The term of a record; zero if there is none.
  [[nodiscard]] term_id TermAt(log_index aIndex) const noexcept;
};

/// The last record that two logs share. This is correct because a term has one
/// primary, which only appends: records with the same term and index are the
/// same, and so are all records before them.
[[nodiscard]] log_index
CommonPrefix(const log_summary& aOne, const log_summary& aOther) noexcept;

/// The records of a group at one server, numbered from 1.
class record_log
{
public:
  void Append(log_record aRecord);
  /// Drops all records after the index.
  void Truncate(log_index aLast);

  [[nodiscard]] const log_record& At(log_index aIndex) const;
  [[nodiscard]] log_position PositionAt(log_index aIndex) const noexcept;
  [[nodiscard]] log_position Last() const noexcept;
  [[nodiscard]] const log_summary& Summary() const noexcept;

private:
  std::vector<log_record> mRecords;
  log_summary mSummary;
};

/// Appends the encoded record, for a replica or the journal.
void
EncodeRecord(const log_record& aRecord, std::string& aTarget);

/// Decodes a record encoded by EncodeRecord; empty if it is malformed.
[[nodiscard]] std::optional<log_record>
DecodeRecord(std::string_view aBytes);

} // namespace currantshed::standin::postgres

#endif
