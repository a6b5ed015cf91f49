#ifndef CURRANTSHED_TEST_MATRIX_HISTORY_HPP
#define CURRANTSHED_TEST_MATRIX_HISTORY_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantshed::matrix {

/// Time since the start of a run.
using instant = std::chrono::microseconds;

/// The outcome that a caller was told.
enum class told_outcome
{
  kNothing,
  kDone,
  kNotRun,
  kUnknown,
  kRefused,
};

/// One change as its caller knows it: a single request or a whole transaction.
struct change_record
{
  unsigned number = 0;
  unsigned session = 0;
  /// Values that the change adds, in order.
  std::vector<std::string> values;
  std::string key;
  instant sent{ 0 };
  instant answered{ 0 };
  told_outcome outcome = told_outcome::kNothing;
  /// The server named in the answer.
  std::string servedBy;
  /// Whether the answer reports a change made earlier under the same
  /// idempotency key.
  bool repeated = false;
  std::string why;
};

struct read_record
{
  unsigned number = 0;
  unsigned session = 0;
  /// Whether the request carried the session token.
  bool withToken = false;
  /// Staleness bound; zero for a fresh read.
  std::chrono::milliseconds bound{ 0 };
  instant sent{ 0 };
  instant answered{ 0 };
  told_outcome outcome = told_outcome::kNothing;
  std::vector<std::string> values;
  /// Whether every statement was answered, each with its own result.
  bool whole = true;
  bool byReplica = false;
};

/// A transaction in the final primary's log.
struct kept_record
{
  std::uint64_t term = 0;
  std::vector<std::string> values;
};

/// A promotion of a server to primary.
struct promotion
{
  std::uint64_t term = 0;
  std::string server;
  instant at{ 0 };
};

/// The start of a unit of work on a server.
struct work_record
{
  std::string server;
  instant at{ 0 };
};

/// A server that was marked as draining.
struct leaving_record
{
  std::string server;
  /// Time from which on the server must get no new work.
  instant freeFrom{ 0 };
};

/// A graceful shutdown of a process, and the number of requests that its exit
/// cut off.
struct stop_record
{
  std::string process;
  unsigned cutOff = 0;
};

/// A configuration version that took effect in one incarnation of a process.
struct version_record
{
  std::string process;
  std::uint64_t version = 0;
  std::string declaration;
};

/// The result an operator was given for a configuration change.
struct applied_record
{
  std::string declaration;
  std::uint64_t version = 0;
  told_outcome outcome = told_outcome::kNothing;
};

/// Everything recorded in a run: the answers given to callers and operators,
/// and the final state of servers and processes.
struct history
{
  std::vector<change_record> changes;
  std::vector<read_record> reads;
  std::vector<kept_record> log;
  std::vector<promotion> promotions;
  std::vector<work_record> work;
  std::vector<leaving_record> leaving;
  std::vector<stop_record> stops;
  /// In the order in which they took effect.
  std::vector<version_record> versions;
  std::vector<applied_record> applied;
  /// Every configuration version that the store held.
  std::vector<version_record> stored;
  /// Processes that must have the last version in effect at the end.
  std::vector<std::string> lastProcesses;
  /// Time at which all faults have ended.
  instant healed{ 0 };
  bool settled = false;
};

} // namespace currantshed::matrix

#endif
