#ifndef CURRANTSHED_LOAD_HISTORY_HPP
#define CURRANTSHED_LOAD_HISTORY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "currantshed/load/fwd.hpp"

namespace currantshed::load {

/// Final outcome of a change, as known to its caller.
enum class change_outcome
{
  /// The change was acknowledged.
  kDone,
  /// The answer stated that the change did not run and never will.
  kNotRun,
  /// The request was refused.
  kRefused,
  /// The caller did not request the commit, or rolled the change back.
  kAbandoned,
  /// Neither an answer nor a query of the outcome determined it.
  kUnknown,
};

/// How an exchange with a gateway ended.
enum class exchange_result
{
  /// A complete answer was received.
  kAnswered,
  /// No connection could be opened; nothing was sent.
  kNotSent,
  /// The connection ended or the timeout passed before the answer was complete.
  kCutOff,
};

/// The connection used for an exchange, and how the exchange failed.
struct exchange_trace
{
  /// Port of the gateway.
  std::uint16_t port = 0;
  /// Number of earlier exchanges on the connection.
  unsigned earlierExchanges = 0;
  /// Time that the connection had been idle; zero for a new one.
  run_offset idle{ 0 };
  /// System error that ended the exchange; empty if it was answered.
  std::string fault;
};

/// A change requested by a caller: one row with a unique name.
struct change_record
{
  std::string group;
  /// Unique name, stored in the row.
  std::string change;
  std::string key;
  change_outcome outcome = change_outcome::kUnknown;
  run_offset sent{ 0 };
  run_offset answered{ 0 };
};

/// A read of a change by the session to which the change was acknowledged.
struct own_change_read
{
  std::string group;
  std::string change;
  /// Whether the row was returned.
  bool found = false;
};

/// An acknowledged write of the counter row of a group, which a single writer
/// increments.
struct clock_write
{
  std::string group;
  std::uint64_t value = 0;
  run_offset acknowledged{ 0 };
};

/// A read of the counter row.
struct clock_read
{
  std::string group;
  std::uint64_t value = 0;
  /// Maximum staleness declared for the class of the read.
  std::chrono::milliseconds bound{ 0 };
  run_offset sent{ 0 };
};

/// A read, in one statement, of two rows that every transaction changes
/// together; or of a row that the reading transaction has just changed, with
/// the transaction's own tag as the first.
struct tag_read
{
  std::string group;
  std::string first;
  std::string second;
};

/// An answer awaited by a caller.
struct answer_record
{
  std::string work;
  change_outcome outcome = change_outcome::kUnknown;
  bool read = false;
  bool byReplica = false;
  std::chrono::microseconds latency{ 0 };
  /// Deadline of the class.
  std::chrono::milliseconds deadline{ 0 };
  exchange_result end = exchange_result::kAnswered;
  exchange_trace trace;
  std::string reason;
  std::string servedBy;
  /// The idempotency key and session token that were sent.
  std::string key;
  std::string token;
  run_offset sent{ 0 };
  /// Wall-clock time of the answer, since the epoch.
  std::chrono::microseconds wall{ 0 };
};

/// A cut of a group's primary.
struct cut_record
{
  std::string group;
  std::string server;
  run_offset at{ 0 };
};

/// All observations of the callers in a run.
struct history
{
  std::vector<change_record> changes;
  std::vector<own_change_read> ownReads;
  std::vector<clock_write> clockWrites;
  std::vector<clock_read> clockReads;
  std::vector<tag_read> tagReads;
  std::vector<answer_record> answers;
  std::vector<cut_record> cuts;
  /// Completed activities of ordinary sessions.
  std::uint64_t activities = 0;
  /// Scheduled starts of the open loop that a session skipped because it was
  /// still waiting for earlier answers.
  std::uint64_t missedStarts = 0;
};

/// Contents of the primary of one group after the run.
struct group_contents
{
  std::string group;
  /// Number of rows of each change.
  std::map<std::string, unsigned> changes;
  /// Pairs of rows that every transaction changes together.
  std::vector<tag_read> tags;
};

/// Appends the records of the second history to the first.
void
Append(history& aTarget, history&& aSource);

} // namespace currantshed::load

#endif
