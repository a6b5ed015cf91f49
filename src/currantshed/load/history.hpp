#ifndef CURRANTSHED_LOAD_HISTORY_HPP
#define CURRANTSHED_LOAD_HISTORY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantshed/load/fwd.hpp"

namespace currantshed::load {

/// What a caller knows of a change at the end.
enum class change_outcome
{
  /// The change was acknowledged.
  kDone,
  /// The answer said that it did not run and never will.
  kNotRun,
  /// The answer refused it.
  kRefused,
  /// The caller never asked for the commit, or rolled the change back.
  kAbandoned,
  /// No answer told, and asking for the outcome did not either.
  kUnknown,
};

/// How far an exchange with a gateway came.
enum class exchange_result
{
  /// A whole answer came.
  kAnswered,
  /// No connection could be made: nothing was sent.
  kNotSent,
  /// The connection ended, or the time did, before the whole answer came.
  kCutOff,
};

/// The connection that an exchange went over, and how it failed.
struct exchange_trace
{
  /// Where the gateway listens.
  std::uint16_t port = 0;
  /// Exchanges that the connection had carried before.
  unsigned earlierExchanges = 0;
  /// How long the connection had been unused; zero for a new one.
  run_offset idle{ 0 };
  /// What ended the exchange, in the system's words; empty if it was answered.
  std::string fault;
};

/// One change that a caller asked for: one row with a name of its own.
struct change_record
{
  std::string group;
  /// The name, which the row carries.
  std::string change;
  std::string key;
  change_outcome outcome = change_outcome::kUnknown;
  run_offset sent{ 0 };
  run_offset answered{ 0 };
};

/// A read by the session that had been told that the change is done.
struct own_change_read
{
  std::string group;
  std::string change;
  /// Whether the row was in the answer.
  bool found = false;
};

/// An acknowledged write of a row that one writer alone counts upwards.
struct clock_write
{
  std::string group;
  std::uint64_t value = 0;
  run_offset acknowledged{ 0 };
};

/// A read of that row.
struct clock_read
{
  std::string group;
  std::uint64_t value = 0;
  /// How old the data may be by the read's class.
  std::chrono::milliseconds bound{ 0 };
  run_offset sent{ 0 };
};

/// A read of two rows that each transaction changes together, in one
/// statement; or of a row that the reading transaction has just changed, with
/// the transaction's own tag as the first.
struct tag_read
{
  std::string group;
  std::string first;
  std::string second;
};

/// An answer that a caller waited for.
struct answer_record
{
  std::string work;
  change_outcome outcome = change_outcome::kUnknown;
  bool read = false;
  bool byReplica = false;
  std::chrono::microseconds latency{ 0 };
  /// The class's deadline.
  std::chrono::milliseconds deadline{ 0 };
  exchange_result end = exchange_result::kAnswered;
  exchange_trace trace;
  std::string reason;
  std::string servedBy;
  /// The idempotency key and the session's token that were sent.
  std::string key;
  std::string token;
  run_offset sent{ 0 };
  /// When the answer came, as a person reads it: since the epoch.
  std::chrono::microseconds wall{ 0 };
};

/// The cut of a group's primary.
struct cut_record
{
  std::string group;
  std::string server;
  run_offset at{ 0 };
};

/// All that callers saw in a run.
struct history
{
  std::vector<change_record> changes;
  std::vector<own_change_read> ownReads;
  std::vector<clock_write> clockWrites;
  std::vector<clock_read> clockReads;
  std::vector<tag_read> tagReads;
  std::vector<answer_record> answers;
  std::vector<cut_record> cuts;
  /// Activities that ended, of ordinary sessions.
  std::uint64_t activities = 0;
  /// Beginnings of the open loop that a session skipped since it was still
  /// waiting for earlier answers.
  std::uint64_t missedStarts = 0;
};

/// What one group's primary holds after the run.
struct group_contents
{
  std::string group;
  /// How often the row of each change is there.
  std::map<std::string, unsigned> changes;
  /// Pairs of rows that each transaction changes together.
  std::vector<tag_read> tags;
};

/// Moves the second history's records to the end of the first.
void
Append(history& aTarget, history&& aSource);

} // namespace currantshed::load

#endif
